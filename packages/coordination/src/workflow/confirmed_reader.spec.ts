import {expect} from 'chai';
import {CellError} from '@primrosewick/state';
import {TestLog, testBundle} from '@primrosewick/state/fixtures';
import {ConfirmedReader} from './confirmed_reader.js';
import {WorkflowReplica} from './replica.js';

const DEADLINE = 1000;

const copyOf = (log: TestLog): WorkflowReplica => {
  const replica = new WorkflowReplica();
  replica.restore(log.db.toImage());
  replica.open();
  return replica;
};
const errorOf = (read: Promise<unknown>): Promise<unknown> =>
  read.then(
    () => undefined,
    (err: unknown) => err,
  );

describe('confirmed reads of a replica', () => {
  it('a bundle that was acknowledged before the read is not missing', async () => {
    const replica = copyOf(new TestLog({version: 1}));
    const later = testBundle({version: 2});
    const reader = new ConfirmedReader({
      replica,
      catchUp: {
        reach: async () =>
          void replica.apply({
            index: replica.index + 1,
            command: {kind: 'put_bundle', bundle: later},
          }),
      },
    });
    expect((await reader.readBundle(DEADLINE)).version).to.equal(2);
  });
  it('an old bundle is not read where nobody confirms it', async () => {
    const err = new CellError({code: 'log_unavailable', step: 'read-index'});
    const reader = new ConfirmedReader({
      replica: copyOf(new TestLog()),
      catchUp: {reach: () => Promise.reject(err)},
    });
    expect(await errorOf(reader.readBundle(DEADLINE))).to.equal(err);
  });
  it('a workflow and a queue that are missing after a read index are unknown', async () => {
    const log = new TestLog();
    const reader = new ConfirmedReader({
      replica: copyOf(log),
      catchUp: {reach: async () => undefined},
    });
    const [queue] = log.db.bundle!.queues;
    const kindOf = async (path: string): Promise<string> => {
      const address = {host: queue!.host, path};
      return (await reader.readWorkflow(address, DEADLINE)).answer.kind;
    };
    expect(await kindOf(`${queue!.prefix}a`)).to.equal('unknown_workflow');
    expect(await kindOf('/elsewhere/a')).to.equal('unknown_queue');
    expect(await kindOf(queue!.prefix)).to.equal('pending');
  });
  it('a replica that may not be read yet shows no bundle', async () => {
    const reader = new ConfirmedReader({
      replica: new WorkflowReplica(),
      catchUp: {reach: async () => undefined},
    });
    expect(await errorOf(reader.readBundle(DEADLINE))).to.include({
      code: 'log_unavailable',
    });
  });
});
