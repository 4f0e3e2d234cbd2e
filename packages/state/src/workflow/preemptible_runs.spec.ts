import {expect} from 'chai';
import {WorkflowDb} from './db.js';
import {TestLog, testSpec, testStep, testTask} from './fixtures.js';
import {taskKey} from './refs.js';

const ROOM = {cpuMillis: 1000, memMb: 100, gpus: 0};

/** A worker with three tasks that save checkpoints and one that does not. */
const busyLog = (): TestLog => {
  const log = new TestLog();
  log.addWorker('w1');
  const saving = testStep({taskCount: 3, isCheckpointable: true, room: ROOM});
  log.submit('saving', testSpec([saving]));
  log.submit('other', testSpec([testStep()]));
  for (let i = 0; i < 3; i++) log.start('w1', testTask('saving', 0, i));
  log.start('w1', testTask('other', 0, 0));
  return log;
};

const stateOf = (db: WorkflowDb) => db.workers.get('w1' as never)!;

describe('index of preemptible runs', () => {
  it('holds runs that save checkpoints, and their resources', () => {
    const {yielding, yieldingRoom} = stateOf(busyLog().db);
    expect(yielding.size).to.equal(3);
    expect([...yieldingRoom.values()]).to.eql([
      {cpuMillis: 3000, memMb: 300, gpus: 0},
    ]);
  });
  it('drops runs that have ended', () => {
    const log = busyLog();
    log.end('w1', testTask('saving', 0, 1), 'done');
    const {yielding, yieldingRoom} = stateOf(log.db);
    expect([...yielding.keys()]).to.not.include(
      taskKey(testTask('saving', 0, 1)),
    );
    expect([...yieldingRoom.values()]).to.eql([
      {cpuMillis: 2000, memMb: 200, gpus: 0},
    ]);
  });
  it('leaves out a task from its fourth run on', () => {
    const log = busyLog();
    log.end('w1', testTask('saving', 0, 0), 'stopped');
    log.start('w1', testTask('saving', 0, 0), 4);
    expect(stateOf(log.db).yielding.size).to.equal(2);
  });
  it('is the same after a restore', () => {
    const log = busyLog();
    log.end('w1', testTask('saving', 0, 2), 'stopped');
    const restored = new WorkflowDb();
    restored.restore(log.db.toImage());
    const {yielding, yieldingRoom} = stateOf(restored);
    expect([...yielding.keys()]).to.eql([...stateOf(log.db).yielding.keys()]);
    expect(yieldingRoom).to.eql(stateOf(log.db).yieldingRoom);
  });
});
