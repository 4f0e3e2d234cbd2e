import {expect} from 'chai';
import {ConfirmedReader, WorkflowReplica} from '@primrosewick/coordination';
import {CellError} from '@primrosewick/state';
import {TestLog, testBundle} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {BundleReader} from './bundle_reader.js';

const readableReplica = (): WorkflowReplica => {
  const replica = new WorkflowReplica();
  replica.restore(new TestLog({version: 3}).db.toImage());
  replica.open();
  return replica;
};

/** A reader of a replica, beside a leader that holds version 4. */
const makeReader = (
  replica: WorkflowReplica,
  reach: (deadline: number) => Promise<void> = async () => undefined,
  askLeader: () => Promise<unknown> = async () => ({
    bundle: testBundle({version: 4}),
  }),
) => {
  const lines: object[] = [];
  let asked = 0;
  const reader = new BundleReader({
    reader: new ConfirmedReader({replica, catchUp: {reach}}),
    gateway: {
      callLeader: async () => {
        asked++;
        return (await askLeader()) as never;
      },
    },
    clock: systemClock,
    logger: {info: (line: object) => lines.push(line)} as never,
  });
  return {reader, lines, askedCount: () => asked};
};
const deadline = () => systemClock.now() + 1000;

describe('bundle reader', () => {
  it('the leader sends no bundle that the replica holds', async () => {
    const {reader, lines, askedCount} = makeReader(readableReplica());
    expect((await reader.read(deadline())).version).to.equal(3);
    expect(askedCount()).to.equal(0);
    expect(lines[0]).to.include({decision: 'read_bundle', way: 'copy'});
  });
  it('the leader answers for a replica that may not be read yet', async () => {
    const {reader, askedCount} = makeReader(new WorkflowReplica());
    expect((await reader.read(deadline())).version).to.equal(4);
    expect(askedCount()).to.equal(1);
  });
  it('a replica that is not confirmed leaves the answer to the leader', async () => {
    const err = new CellError({code: 'log_unavailable', step: 'read-index'});
    const {reader, lines, askedCount} = makeReader(readableReplica(), () =>
      Promise.reject(err),
    );
    expect((await reader.read(deadline())).version).to.equal(4);
    expect(askedCount()).to.equal(1);
    expect(lines[0]).to.include({way: 'copy'}).and.have.property('err');
    expect(lines[1]).to.include({way: 'leader', version: 4});
  });
  it('a read that fails at the leader too is told with its reason', async () => {
    const err = new CellError({code: 'log_unavailable', step: 'read-index'});
    const {reader, lines} = makeReader(
      readableReplica(),
      () => Promise.reject(err),
      () => Promise.reject(err),
    );
    const thrown: unknown = await reader.read(deadline()).catch(e => e);
    expect(thrown).to.equal(err);
    expect(lines).to.have.length(2);
  });
  it('a replica that hangs leaves time to ask the leader', async () => {
    let replicaDeadline = Infinity;
    const until = deadline();
    const {reader} = makeReader(readableReplica(), at => {
      replicaDeadline = at;
      return Promise.resolve();
    });
    await reader.read(until);
    expect(replicaDeadline).to.be.below(until - 200);
  });
});
