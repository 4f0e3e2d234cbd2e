import {expect} from 'chai';
import {TestLog, testSpec, testStep} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from './replica.js';
import {ReplicaReader} from './replica_reader.js';

describe('load of questions that wait', () => {
  it('a count that waits for a late copy is not made again at each look', async () => {
    const log = new TestLog();
    log.submit('a', testSpec([testStep()]));
    const replica = new WorkflowReplica();
    replica.restore(log.db.toImage());
    replica.open();
    let counts = 0;
    const {open} = replica.db;
    const values = open.values.bind(open);
    open.values = () => {
      counts++;
      return values();
    };
    const reader = new ReplicaReader({
      replica,
      clock: systemClock,
      ageMs: () => 5000,
    });
    const [queue] = log.db.bundle!.queues;
    await reader.readAt({host: queue!.host, path: queue!.prefix}, 0);
    expect(counts).to.be.lessThan(3);
  });
});
