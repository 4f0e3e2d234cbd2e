import bunyan from 'bunyan';
import {expect} from 'chai';
import type {
  CellError,
  KeyDigest,
  VmId,
  WorkflowSpec,
} from '@primrosewick/state';
import {
  TestLog,
  testCustomer,
  testSpec,
  testStep,
} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from './replica.js';
import {
  WorkflowService,
  type LogAccess,
  type WorkflowServiceOptions,
} from './service.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const [QUEUE] = new TestLog().db.bundle!.queues;

/** A leader whose log accepts all commands, and the kinds of those proposed. */
const makeService = (options: Partial<WorkflowServiceOptions> = {}) => {
  const replica = new WorkflowReplica();
  replica.restore(new TestLog().db.toImage());
  const proposed: string[] = [];
  const service = new WorkflowService({
    replica,
    log: {
      isLeading: true,
      leaderVm: 'own' as VmId,
      propose: async ({kind}) => {
        proposed.push(kind);
        return {kind: 'applied'} as never;
      },
      readIndex: async () => replica.index,
    },
    clock: systemClock,
    logger,
    load: {decide: () => ({kind: 'take'})},
    onAnnouncement: () => undefined,
    ...options,
  });
  return {service, proposed, replica};
};

/** Submits a workflow; returns the answer or error code, and the proposed commands. */
const submit = async (spec: WorkflowSpec) => {
  const {service, proposed} = makeService();
  const answer = await service
    .handle({
      kind: 'submit',
      host: QUEUE!.host,
      path: `${QUEUE!.prefix}5c0e7a21d94b36f8`,
      spec,
    })
    .then(
      reply => (reply.kind === 'ok' ? reply.value.kind : reply.kind),
      (err: CellError) => err.code,
    );
  return {answer, proposed};
};

/** What becomes of a submission whose record is accepted, or refused. */
const stepsOf = async (
  propose: LogAccess['propose'],
): Promise<readonly string[]> => {
  const steps: string[] = [];
  const log: LogAccess = {
    isLeading: true,
    leaderVm: 'own' as VmId,
    propose: command => {
      steps.push('proposed');
      return propose(command);
    },
    readIndex: async () => 0,
  };
  const {service} = makeService({
    log,
    onSubmission: ({id}) => steps.push(`announced ${id}`),
    onUnrecorded: id => steps.push(`unrecorded ${id}`),
  });
  const path = `${QUEUE!.prefix}a`;
  const spec = testSpec([testStep()]);
  await service
    .handle({kind: 'submit', host: QUEUE!.host, path, spec})
    .catch(() => undefined);
  return steps;
};

describe('workflow service', () => {
  it('advice need not wait for the record of a submission', async () => {
    expect(await stepsOf(async () => ({kind: 'applied'}))).to.eql([
      'announced a',
      'proposed',
    ]);
  });
  it('a submission that is not recorded is told so', async () => {
    const fail = () => Promise.reject(new Error('no quorum'));
    expect((await stepsOf(fail)).at(-1)).to.equal('unrecorded a');
  });
  it('a workflow with 100 tasks is recorded', async () => {
    const outcome = await submit(testSpec([testStep({taskCount: 100})]));
    expect(outcome).to.eql({answer: 'accepted', proposed: ['submit']});
  });
  it('a workflow too large for the voters is rejected before it is recorded', async () => {
    const huge = [
      testSpec([testStep({taskCount: 2_000_000_000})]),
      {...testSpec([testStep()]), occurrences: 1e9, firstDueAt: 1},
      testSpec(Array.from({length: 20_000}, () => testStep())),
    ];
    for (const spec of huge)
      expect(await submit(spec)).to.eql({
        answer: 'invalid_input',
        proposed: [],
      });
  });
  it('a bundle that is in force and is sent again is acknowledged without a record', async () => {
    const {service, proposed} = makeService();
    const {bundle} = new TestLog().db;
    const reply = await service.putBundle({bundle: bundle!});
    expect(reply.kind).to.equal('ok');
    expect(proposed).to.eql([]);
  });
  it('work that the cap of its customer can never hold is rejected, not recorded', async () => {
    const cap = {cpuMillis: 500, memMb: 0, gpus: 0};
    const keyDigests = ['digest' as KeyDigest];
    const refused: string[] = [];
    const {service, proposed, replica} = makeService({
      onRefused: (_, why) => refused.push(why),
    });
    const bundle = {
      ...replica.db.bundle!,
      version: 2,
      customers: [testCustomer('a', {cap, keyDigests})],
    };
    replica.db.apply(replica.db.index + 1, {kind: 'put_bundle', bundle});
    const answerTo = (credential: string) =>
      service
        .handle({
          kind: 'submit',
          host: QUEUE!.host,
          path: `${QUEUE!.prefix}a`,
          spec: testSpec([testStep()]),
          credential: credential as KeyDigest,
        })
        .catch(({code, status, outcome}: CellError) => [code, status, outcome]);
    expect(await answerTo('digest')).to.eql(['cap_exceeded', 429, 'not_run']);
    expect([proposed, refused]).to.eql([[], ['cap_exceeded']]);
  });
});
