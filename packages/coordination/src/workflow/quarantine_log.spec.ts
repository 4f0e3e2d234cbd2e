import {expect} from 'chai';
import type Logger from 'bunyan';
import type {PlannedWait, SuspectWait} from '@primrosewick/state';
import {testTask} from '@primrosewick/state/fixtures';
import {QuarantineLog} from './quarantine_log.js';

const wait = (workflow: string, suspect: SuspectWait): PlannedWait => ({
  step: testTask(workflow, 0, 0),
  why: 'quarantine',
  taskCount: 1,
  candidateCount: 6,
  suspect,
});

const makeLog = () => {
  const lines: object[] = [];
  const logger = {info: (line: object) => lines.push(line)};
  return {lines, log: new QuarantineLog(logger as unknown as Logger)};
};

describe('quarantine log', () => {
  it('a wait in quarantine is told at its begin, with its end and its oldest', () => {
    const {lines, log} = makeLog();
    const waits = [
      wait('a', {suspectCount: 7, since: 9000, quietAt: 10_400}),
      wait('b', {suspectCount: 7, since: 8000, quietAt: 10_600}),
    ];
    log.notePass(waits, {now: 100, wall: 10_000});
    expect(lines).to.eql([
      {
        change: 'quarantine',
        waiting: 2,
        knownSuspects: 7,
        oldest: 'b.0.0',
        oldestMs: 2000,
        freeWorkers: 6,
        endsBy: 'quiet_worker',
        endsInMs: 600,
      },
    ]);
  });
  it('a suspect that no worker has room for says so', () => {
    const {lines, log} = makeLog();
    const waits = [wait('a', {suspectCount: 1, since: 9000})];
    log.notePass(waits, {now: 100, wall: 10_000});
    expect(lines[0]).to.include({endsBy: 'room'});
    expect(lines[0]).not.to.have.property('endsInMs');
  });
  it('passes come often, lines once a second, and the last one tells the end', () => {
    const {lines, log} = makeLog();
    const waits = [wait('a', {suspectCount: 1, since: 0})];
    for (let now = 0; now < 2500; now += 10)
      log.notePass(waits, {now, wall: now});
    log.notePass([], {now: 3000, wall: 3000});
    log.notePass([], {now: 9000, wall: 9000});
    expect(lines).to.have.length(4);
    expect(lines.at(-1)).to.eql({
      change: 'quarantine',
      waiting: 0,
      lastedMs: 3000,
    });
  });
});
