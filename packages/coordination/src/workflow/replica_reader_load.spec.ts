import {expect} from 'chai';
import {TestLog, testSpec, testStep} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from './replica.js';
import {ReplicaReader} from './replica_reader.js';

describe('load of waiting reads', () => {
  it('a read that waits for a stale replica does not count again at each poll', async () => {
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
