import bunyan from 'bunyan';
import {expect} from 'chai';
import fc from 'fast-check';
import type {WorkflowReply} from '@primrosewick/protocol';
import {
  CellError,
  matchQueue,
  type Bundle,
  type VmId,
  type WorkflowCommand,
  type WorkflowId,
} from '@primrosewick/state';
import {
  TestLog,
  testBundle,
  testQueue,
  testSpec,
  testStep,
} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from './replica.js';
import {WorkflowService} from './service.js';
import {lookUp} from './workflow_view.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const HOST = 'host';
const ID = '5c0e7a21d94b36f8' as WorkflowId;
const OTHER_ID = '0000000000000001' as WorkflowId;
const SPEC = testSpec([testStep()]);
const OUTER = testQueue({name: 'outer', prefix: '/outer/'});
const INNER = testQueue({name: 'inner', prefix: '/outer/inner/'});

/** A leader of a log of one voter, with the queues of `OUTER` and `INNER`. */
const makeLeader = () => {
  const replica = new WorkflowReplica();
  replica.restore(new TestLog({queues: [OUTER, INNER]}).db.toImage());
  let version = 1;
  const apply = (command: WorkflowCommand) =>
    replica.apply({index: replica.index + 1, command})!;
  const setQueues = (queues: Bundle['queues']) => {
    const bundle = testBundle({version: ++version, queues});
    apply({kind: 'put_bundle', bundle});
  };
  /** Called when the leadership is confirmed, which comes first. */
  const confirmation = {run: (): void => undefined};
  const service = new WorkflowService({
    replica,
    log: {
      isLeading: true,
      leaderVm: 'own' as VmId,
      propose: async command => apply(command),
      readIndex: async () => {
        confirmation.run();
        return replica.index;
      },
    },
    clock: systemClock,
    logger,
    load: {decide: () => ({kind: 'take'})},
    isWorkflowId: text => /^[0-9a-f]{16}$/.test(text),
    onAnnouncement: () => undefined,
  });
  const ask = async (
    kind: 'submit' | 'get' | 'cancel',
    path: string,
  ): Promise<WorkflowReply | string> => {
    try {
      const request = {kind, host: HOST, path, spec: SPEC} as const;
      const reply = await service.handle(request);
      return reply.kind === 'ok' ? reply.value : reply.kind;
    } catch (err) {
      return err instanceof CellError ? err.code : String(err);
    }
  };
  return {replica, setQueues, confirmation, ask};
};

const UNKNOWN_QUEUE: WorkflowReply = {kind: 'unknown_queue'};
const UNKNOWN_WORKFLOW: WorkflowReply = {kind: 'unknown_workflow'};
const ACCEPTED: WorkflowReply = {kind: 'accepted'};
const QUEUED: WorkflowReply = {kind: 'state', state: 'queued'};

describe('nested queues', () => {
  // Guards against TWICE: the rest of such a path was taken for an id, and the
  // ends of its tasks could not be read, so that they ran again without end.
  it('a submission below a queue is told that there is no such queue', async () => {
    const {ask, setQueues, replica} = makeLeader();
    setQueues([OUTER]);
    for (const path of [INNER.prefix, '/outer/never/', '/outer/a/b/', '/none/'])
      expect(await ask('submit', path + ID)).to.eql(UNKNOWN_QUEUE);
    expect(replica.db.workflows.size).to.equal(0);
  });
  it('a submission whose path ends in an id, but of another queue, is refused', async () => {
    const {ask, setQueues, replica} = makeLeader();
    setQueues([testQueue({name: 'short', prefix: '/outer/ab'})]);
    const path = '/outer/ab5c0e7a21d94b36';
    expect(await ask('submit', path)).to.equal('invalid_input');
    expect(await ask('submit', '/outer/ab')).to.equal('invalid_input');
    expect(replica.db.workflows.size).to.equal(0);
  });
  it('a count of a queue that is not there is told so', async () => {
    const {ask, setQueues} = makeLeader();
    const count = {kind: 'pending', count: 0, version: 1};
    expect(await ask('get', INNER.prefix)).to.eql(count);
    setQueues([OUTER]);
    for (const path of [INNER.prefix, '/outer/never/'])
      expect(await ask('get', path)).to.eql({...UNKNOWN_QUEUE, version: 2});
    expect(await ask('get', OUTER.prefix + ID)).to.eql(UNKNOWN_WORKFLOW);
  });
  it('a workflow of a queue that was removed is found where it was submitted', async () => {
    const {ask, setQueues, replica} = makeLeader();
    expect(await ask('submit', INNER.prefix + ID)).to.eql(ACCEPTED);
    setQueues([OUTER]);
    const address = {host: HOST, path: INNER.prefix + ID};
    expect(lookUp(replica.db, address)).to.eql(QUEUED);
    expect(await ask('get', INNER.prefix + ID)).to.eql(QUEUED);
    expect(await ask('get', OUTER.prefix + ID)).to.eql(QUEUED);
    for (const path of [`/outer/never/${ID}`, INNER.prefix + OTHER_ID])
      expect(await ask('get', path)).to.eql({...UNKNOWN_QUEUE, version: 2});
    expect(await ask('cancel', INNER.prefix + OTHER_ID)).to.eql(UNKNOWN_QUEUE);
    expect(await ask('cancel', INNER.prefix + ID)).to.eql({kind: 'cancelled'});
    expect(replica.db.workflows.get(ID)?.phase).to.equal('cancelled');
  });
  it('a submission that is repeated after its queue was removed is one workflow', async () => {
    const {ask, setQueues, replica} = makeLeader();
    await ask('submit', INNER.prefix + ID);
    setQueues([OUTER]);
    expect(await ask('submit', INNER.prefix + ID)).to.eql(ACCEPTED);
    expect([...replica.db.workflows.keys()]).to.eql([ID]);
  });
  it('a leader that may be out of date looks again for a nested queue', async () => {
    const {ask, setQueues, replica, confirmation} = makeLeader();
    setQueues([OUTER]);
    confirmation.run = () => setQueues([OUTER, INNER]);
    expect(await ask('submit', INNER.prefix + ID)).to.eql(ACCEPTED);
    expect(replica.db.workflows.get(ID)?.queue).to.equal('inner');
  });
  it('a workflow that an earlier version accepted below a queue is found and cancelled', async () => {
    const {ask, setQueues, replica} = makeLeader();
    const id = `old/${ID}` as WorkflowId;
    const command = {kind: 'submit', id, queue: OUTER.name, spec: SPEC, at: 1};
    replica.apply({
      index: replica.index + 1,
      command: command as WorkflowCommand,
    });
    setQueues([OUTER]);
    expect(await ask('submit', OUTER.prefix + id)).to.eql(ACCEPTED);
    expect(await ask('get', OUTER.prefix + id)).to.eql(QUEUED);
    expect(await ask('cancel', OUTER.prefix + id)).to.eql({kind: 'cancelled'});
    expect(replica.db.workflows.size).to.equal(1);
  });

  const PREFIXES = ['/a/', '/a/b/', '/a/bc'];
  const prefix = fc.constantFrom(...PREFIXES);
  const step = fc.oneof(
    fc.record({
      kind: fc.constant('queues' as const),
      prefixes: fc.subarray(PREFIXES),
    }),
    fc.record({
      kind: fc.constantFrom(
        'submit' as const,
        'get' as const,
        'cancel' as const,
      ),
      prefix,
      extra: fc.constantFrom('', '', '', 'x/', 'b/', '0'),
      id: fc.constantFrom(ID, ID, OTHER_ID, '' as WorkflowId),
    }),
  );
  it('whatever queues come and go, only ids are accepted, and what was accepted is found', () =>
    fc.assert(
      fc.asyncProperty(
        fc.array(step, {maxLength: 60, size: 'max'}),
        async steps => {
          const {ask, setQueues, replica} = makeLeader();
          setQueues([]);
          /** Ids that were accepted, and prefixes of the queues that ever were. */
          const accepted = new Set<string>();
          const prefixes = new Set<string>();
          const isNamed = (path: string): boolean =>
            [...prefixes].some(
              known =>
                path.startsWith(known) &&
                accepted.has(path.slice(known.length)),
            );
          for (const step of steps) {
            if (step.kind === 'queues') {
              for (const name of step.prefixes) prefixes.add(name);
              setQueues(
                step.prefixes.map(name => testQueue({name, prefix: name})),
              );
              continue;
            }
            const path = step.prefix + step.extra + step.id;
            const match = matchQueue(replica.db.bundle!, HOST, path);
            const isId =
              match !== undefined && /^[0-9a-f]{16}$/.test(match.rest);
            const reply = await ask(step.kind, path);
            const kind = typeof reply === 'string' ? reply : reply.kind;
            const isKnown = match !== undefined && isNamed(path);
            if (!match) expect(kind).to.equal('unknown_queue');
            if (step.kind === 'submit' && isId && kind === 'accepted')
              accepted.add(match.rest);
            if (step.kind === 'submit' && !isId && !isKnown)
              expect(kind).to.be.oneOf(['unknown_queue', 'invalid_input']);
            if (step.kind !== 'submit' && isKnown)
              expect(kind).to.equal(
                step.kind === 'get' ? 'state' : 'cancelled',
              );
            if (step.kind === 'get' && match?.rest === '')
              expect(kind).to.equal('pending');
          }
          expect([...replica.db.workflows.keys()]).to.have.members([
            ...accepted,
          ]);
        },
      ),
      {seed: 7701, numRuns: 500},
    ));
});
