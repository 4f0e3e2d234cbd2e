/** Submissions that arrive after the cancellation of their id was acknowledged. */
import bunyan from 'bunyan';
import {expect} from 'chai';
import type {
  CellError,
  VmId,
  WorkflowCommand,
  WorkflowImage,
  WorkflowResult,
} from '@primrosewick/state';
import {
  MAX_CANCELLED_BYTES,
  costOf,
  seededRandom,
  type Random,
} from '@primrosewick/state';
import {TestLog, testSpec, testStep} from '@primrosewick/state/fixtures';
import {systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from './replica.js';
import {WorkflowService} from './service.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const [QUEUE] = new TestLog().db.bundle!.queues;
const KEEP_MS = 180_000;
const ID = '5c0e7a21d94b36f8';
/** Ids that one caller cancels; more than it may have remembered. */
const FLOOD = 20_000;
const FLOOD_ADDRESS = '10.0.0.66';

/** A leader with its own state; the log is as long as the commands proposed. */
class TestLeader {
  readonly replica = new WorkflowReplica({keepEndedMs: KEEP_MS});
  readonly unrecorded: string[] = [];
  readonly proposed: WorkflowCommand[] = [];
  private readonly clock = {
    ...systemClock,
    now: () => this.now,
    wall: () => 1e12 + this.now,
  };
  private readonly service: WorkflowService;
  now = 0;
  /** Runs before the next command is applied. */
  beforeNext: () => void = () => undefined;

  constructor(image: WorkflowImage = new TestLog().db.toImage()) {
    this.replica.restore(JSON.parse(JSON.stringify(image)));
    this.service = new WorkflowService({
      replica: this.replica,
      log: {
        isLeading: true,
        leaderVm: 'own' as VmId,
        propose: async command => this.apply(command),
        readIndex: async () => this.replica.index,
      },
      clock: this.clock,
      logger,
      load: {decide: () => ({kind: 'take'})},
      onAnnouncement: () => undefined,
      onUnrecorded: id => this.unrecorded.push(id),
    });
  }

  get db() {
    return this.replica.db;
  }

  /** Answer, or code of the error, of a submission. */
  submit(id = ID): Promise<string> {
    const spec = testSpec([testStep()]);
    return this.ask({kind: 'submit', ...this.addressOf(id), spec});
  }

  /** Answer, or code of the error, of a cancellation. */
  cancel(id = ID, clientAddress = '10.0.0.1'): Promise<string> {
    return this.ask({kind: 'cancel', ...this.addressOf(id), clientAddress});
  }

  /** Another leader with the state of this one, as a snapshot has it. */
  succeeded(): TestLeader {
    const next = new TestLeader(this.replica.toImage());
    next.now = this.now;
    return next;
  }

  private addressOf(id: string) {
    return {host: QUEUE!.host, path: `${QUEUE!.prefix}${id}`};
  }

  private ask(request: Parameters<WorkflowService['handle']>[0]) {
    return this.service.handle(request).then(
      reply => (reply.kind === 'ok' ? reply.value.kind : reply.kind),
      (err: CellError) => err.code as string,
    );
  }

  private apply(command: WorkflowCommand): WorkflowResult {
    const {beforeNext} = this;
    this.beforeNext = () => undefined;
    beforeNext();
    this.proposed.push(command);
    const index = this.replica.index + 1;
    return this.replica.apply({index, command})!;
  }
}

const idOf = (number: number): string => number.toString(16).padStart(16, '0');

/** Cancels many unknown ids from one address; @returns how many were acknowledged. */
const flood = async (leader: TestLeader): Promise<number> => {
  let acknowledged = 0;
  for (let i = 0; i < FLOOD; i++) {
    const answer = await leader.cancel(idOf(i), FLOOD_ADDRESS);
    if (answer === 'unknown_workflow') acknowledged++;
  }
  return acknowledged;
};

describe('cancelled before the submission', () => {
  // Guards against a job that runs though its client was told that there is none.
  it('a submission that comes after its cancellation is refused', async () => {
    const leader = new TestLeader();
    expect(await leader.cancel()).to.equal('unknown_workflow');
    expect(await leader.submit()).to.equal('cancelled_before');
    expect(leader.db.workflows.size).to.equal(0);
    expect(await leader.submit(idOf(1))).to.equal('accepted');
  });
  // Guards against leaders that forget it: they are killed, or restored from a snapshot.
  it('so it is at the next leader, and at one restored from a snapshot', async () => {
    const leader = new TestLeader();
    await leader.cancel();
    const restored = leader.succeeded().succeeded();
    expect(await restored.submit()).to.equal('cancelled_before');
  });
  // Guards against a submission that is being recorded while the other record is made.
  it('whichever record comes first decides, and the caller is told so', async () => {
    const leader = new TestLeader();
    let submitted = Promise.resolve('');
    leader.beforeNext = () => void (submitted = leader.submit());
    const cancelled = await leader.cancel();
    const isOpen = leader.db.open.has(ID as never);
    expect(isOpen).to.equal(false);
    expect([cancelled, await submitted].join(' ')).to.be.oneOf([
      'cancelled accepted',
      'unknown_workflow cancelled_before',
    ]);
  });
  it('a submission that finds the cancellation recorded is told that it was not', async () => {
    const leader = new TestLeader();
    leader.beforeNext = () =>
      void leader.replica.apply({
        index: leader.replica.index + 1,
        command: {
          kind: 'cancel',
          id: ID as never,
          at: 1e12,
          remembers: true,
        },
      });
    expect(await leader.submit()).to.equal('cancelled_before');
    expect(leader.unrecorded).to.eql([ID]);
  });
  it('a repeated cancellation is acknowledged without another record', async () => {
    const leader = new TestLeader();
    await leader.cancel();
    expect(await leader.cancel()).to.equal('unknown_workflow');
    expect(leader.proposed).to.have.length(1);
  });
  it('a cancelled workflow that is submitted again stays cancelled', async () => {
    const leader = new TestLeader();
    expect(await leader.submit()).to.equal('accepted');
    expect(await leader.cancel()).to.equal('cancelled');
    expect(await leader.submit()).to.equal('accepted');
    expect(leader.db.open.size).to.equal(0);
  });
  it('is remembered as long as an ended workflow, and no longer', async () => {
    const leader = new TestLeader();
    await leader.cancel();
    leader.now = KEEP_MS;
    expect(await leader.submit()).to.equal('cancelled_before');
    leader.now = KEEP_MS + 1;
    await leader.submit(idOf(1));
    expect(await leader.submit()).to.equal('accepted');
    expect(leader.db.cancelled.bytes).to.equal(0);
  });
  // Guards against callers that push out what is remembered of others, or fill the state.
  it('one caller can fill half of the room, and pushes nothing out', async () => {
    const leader = new TestLeader();
    await leader.cancel();
    const acknowledged = await flood(leader);
    const half = MAX_CANCELLED_BYTES / 2 / costOf(ID as never);
    expect(acknowledged).to.be.within(half - 1, half + 1);
    expect(leader.db.cancelled.bytes).to.be.at.most(MAX_CANCELLED_BYTES);
    expect(await leader.cancel(idOf(FLOOD), FLOOD_ADDRESS)).to.equal(
      'too_many_cancellations',
    );
    expect(await leader.cancel(idOf(FLOOD))).to.equal('unknown_workflow');
    expect(await leader.submit()).to.equal('cancelled_before');
    leader.now = KEEP_MS + 1;
    expect(await leader.cancel(idOf(FLOOD + 1), FLOOD_ADDRESS)).to.equal(
      'unknown_workflow',
    );
    expect(leader.db.cancelled.bytes).to.equal(costOf(ID as never));
  });
  it('many addresses, and many leaders, keep within the room', async () => {
    let leader = new TestLeader();
    for (let i = 0; i < 2 * FLOOD; i++) {
      if (i % FLOOD === FLOOD / 2) leader = leader.succeeded();
      await leader.cancel(idOf(i), `10.0.1.${i % 200}`);
    }
    const {bytes} = leader.db.cancelled;
    expect(bytes).to.be.within(MAX_CANCELLED_BYTES / 2, MAX_CANCELLED_BYTES);
    expect(await leader.cancel(idOf(3 * FLOOD))).to.equal('unknown_workflow');
  });
  // Guards against an order of records, leaders and snapshots that the cases above miss.
  it('what was cancelled never runs, whatever the order of calls and leaders', async () => {
    for (let seed = 0; seed < RANDOM_RUNS; seed++)
      await playRandomCalls(seededRandom(RANDOM_SEED + seed));
  });
});

const RANDOM_SEED = 6701;
const RANDOM_RUNS = 200;
const RANDOM_STEPS = 30;
/** Ids of a random run; few, so that calls meet. */
const RANDOM_IDS = 4;

/** Calls at random, some at once, at leaders that follow each other. */
const playRandomCalls = async (random: Random): Promise<void> => {
  let leader = new TestLeader();
  const cancelled = new Set<string>();
  const call = async (): Promise<void> => {
    const id = idOf(random.nextInt(0, RANDOM_IDS));
    for (let turn = random.nextInt(0, 4); turn > 0; turn--)
      await Promise.resolve();
    if (random.nextInt(0, 2) === 0) return void (await leader.submit(id));
    const answer = await leader.cancel(id);
    expect(answer).to.be.oneOf(['cancelled', 'unknown_workflow']);
    cancelled.add(id);
  };
  for (let step = 0; step < RANDOM_STEPS; step++) {
    await Promise.all(Array.from({length: random.nextInt(1, 4)}, call));
    for (const id of cancelled)
      expect(leader.db.open.has(id as never), id).to.equal(false);
    leader.now += random.nextInt(0, 1000);
    if (random.nextInt(0, 5) === 0) leader = leader.succeeded();
  }
};
