import bunyan from 'bunyan';
import {expect} from 'chai';
import type {CellError, QueueName, VmId} from '@primrosewick/state';
import {TestLog, testSpec, testStep} from '@primrosewick/state/fixtures';
import {pause, systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from '../workflow/replica.js';
import {WorkflowService} from '../workflow/service.js';
import {RecordLoadTask} from './task.js';

const [QUEUE] = new TestLog().db.bundle!.queues;
const KNOWN = '5c0e7a21d94b36f8';
const RECORD_MS = 700;

/** A leader whose records take a time, with one accepted workflow, and its log lines. */
const makeLeader = (recordMs: number) => {
  const lines: Array<Record<string, unknown>> = [];
  const logger = bunyan.createLogger({
    name: 'spec',
    streams: [
      {type: 'raw', stream: {write: (line: object) => lines.push({...line})}},
    ] as never,
  });
  const testLog = new TestLog();
  testLog.submit(KNOWN, testSpec([testStep()]));
  const replica = new WorkflowReplica();
  replica.restore(testLog.db.toImage());
  const records = new RecordLoadTask({clock: systemClock, logger, seed: 1});
  const service = new WorkflowService({
    replica,
    log: {
      isLeading: true,
      leaderVm: 'own' as VmId,
      propose: () =>
        records.watch(async () => {
          await pause(systemClock, recordMs);
          return {kind: 'applied'} as never;
        }),
      readIndex: async () => replica.index,
    },
    clock: systemClock,
    logger,
    load: {decide: () => ({kind: 'take'})},
    records,
    onAnnouncement: () => undefined,
  });
  const ask = (kind: 'submit' | 'get' | 'cancel', id: string) => {
    const address = {host: QUEUE!.host, path: `${QUEUE!.prefix}${id}`};
    const request =
      kind === 'submit'
        ? {kind, ...address, spec: testSpec([testStep()])}
        : {kind, ...address};
    return service.handle(request).then(
      reply => (reply.kind === 'ok' ? reply.value.kind : reply.kind),
      (err: CellError) => err,
    );
  };
  return {records, ask, lines};
};

const idOf = (n: number): string => n.toString(16).padStart(16, '0');

/** Submits 40 workflows every 100 ms, for a time in ms; @returns their answers. */
const submitFor = async (
  {ask}: ReturnType<typeof makeLeader>,
  ms: number,
): Promise<unknown[]> => {
  const answers: unknown[] = [];
  let next = 1;
  const until = systemClock.now() + ms;
  while (systemClock.now() < until) {
    for (let i = 0; i < 40; i++)
      void ask('submit', idOf(next++)).then(answer => answers.push(answer));
    await pause(systemClock, 100);
  }
  return answers;
};

describe('a leader whose records take too long', () => {
  it('refuses new work at once, as not run, and serves all else', async () => {
    const leader = makeLeader(RECORD_MS);
    leader.records.start();
    try {
      const answers = await submitFor(leader, 2200);
      const refusals = answers.filter(
        answer => typeof answer === 'object',
      ) as CellError[];
      expect(refusals.length).to.be.above(0);
      for (const {code, outcome, retryAfterMs} of refusals) {
        expect([code, outcome]).to.eql(['leader_late', 'not_run']);
        expect(retryAfterMs).to.be.at.least(1000);
      }
      expect(await leader.ask('submit', KNOWN)).to.equal('accepted');
      expect(await leader.ask('get', KNOWN)).to.equal('state');
      expect(await leader.ask('cancel', KNOWN)).to.equal('cancelled');
    } finally {
      leader.records.stop();
    }
  }).timeout(20_000);
  it('tells so in few lines', async () => {
    const leader = makeLeader(RECORD_MS);
    leader.records.start();
    try {
      await submitFor(leader, 4200);
      const loads = leader.lines.filter(({change}) => change === 'record_load');
      expect(loads).to.have.length(2);
      expect(loads[1]).to.include({isOverloaded: true});
      const queue = QUEUE!.name as QueueName;
      expect(loads[1]!['refusedOf']).to.have.property(queue);
      const rejections = leader.lines.filter(({why}) => why === 'records_slow');
      expect(rejections.length).to.be.within(1, 60);
    } finally {
      leader.records.stop();
    }
  }).timeout(20_000);
});
