import bunyan from 'bunyan';
import {expect} from 'chai';
import type {CellError, VmId, WorkflowId} from '@primrosewick/state';
import {TestLog, testSpec, testStep} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from '../workflow/replica.js';
import {WorkflowService} from '../workflow/service.js';
import type {RecordDecision} from './core.js';
import {RefusedSubmissions} from './refused_submissions.js';

const ID = '5c0e7a21d94b36f9' as WorkflowId;
const [QUEUE] = new TestLog().db.bundle!.queues;

/** A leader that refuses while `decision` says so. */
const makeLeader = () => {
  const leader = {decision: {kind: 'take'} as RecordDecision};
  const replica = new WorkflowReplica();
  replica.restore(new TestLog().db.toImage());
  const service = new WorkflowService({
    replica,
    log: {
      isLeading: true,
      leaderVm: 'own' as VmId,
      propose: async () => ({kind: 'applied'}) as never,
      readIndex: async () => replica.index,
    },
    clock: systemClock,
    logger: bunyan.createLogger({name: 'spec', level: 'fatal' as never}),
    load: {decide: () => ({kind: 'take'})},
    records: {decide: () => leader.decision},
    onAnnouncement: () => undefined,
  });
  const submit = (id: string) =>
    service
      .handle({
        kind: 'submit',
        host: QUEUE!.host,
        path: `${QUEUE!.prefix}${id}`,
        spec: testSpec([testStep()]),
      })
      .then(
        reply => (reply.kind === 'ok' ? reply.value.kind : reply.kind),
        (err: CellError) => err.code,
      );
  return {leader, submit};
};

describe('refused submissions', () => {
  it('an attempt that arrives after the refusal of a later one does not run', async () => {
    const {leader, submit} = makeLeader();
    leader.decision = {
      kind: 'refuse',
      recordMs: 800,
      limit: 4,
      retryAfterMs: 200,
    };
    expect(await submit(ID)).to.equal('leader_late');
    leader.decision = {kind: 'take'};
    expect(await submit(ID)).to.equal('leader_late');
    expect(await submit('5c0e7a21d94b36fa')).to.equal('accepted');
    await new Promise(resolve => setTimeout(resolve, 250));
    expect(await submit(ID)).to.equal('accepted');
  });
  it('only so many refusals are remembered', () => {
    const refused = new RefusedSubmissions();
    refused.note(ID, 0, 1000);
    for (let i = 0; i < 4096; i++)
      refused.note(i.toString(16).padStart(16, '0') as WorkflowId, 0, 1000);
    expect(refused.retryAfterMs(ID, 0)).to.equal(0);
    expect(refused.retryAfterMs('0000000000000000' as WorkflowId, 0)).to.equal(
      1000,
    );
  });
});
