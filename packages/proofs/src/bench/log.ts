/**
 * Benchmarks of the cell log. All VMs run in one process and write to real
 * disks; peer calls only have a delay instead of a network.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
  ConsensusTask,
  FollowTask,
  ReplicaTask,
  emptyState,
  rankFollowSources,
  singleVoterState,
  nextMemberChange,
  replaceState,
  restoreState,
  StateWriter,
  type Entry,
  type PackedEnvelope,
} from '@primrosewick/coordination';
import type {PeerMethod, PeerMethods, VmSettings} from '@primrosewick/protocol';
import {
  NodeFolder,
  asId,
  makeNodeId,
  type CellCommand,
  type CellResult,
  type VmId,
  type ZoneId,
} from '@primrosewick/state';
import {sleep, systemClock, type PeerCaller} from '@primrosewick/transport';
import {plainProfile} from '../world/profiles.js';
import {quantile, round, type Table} from './report.js';

const IN_ZONE_MS = 0.3;
const CROSS_ZONE_MS = 5;

const profileChange = (name: string, baseRevision: number): CellCommand => ({
  at: Date.now(),
  body: {
    kind: 'put_profile',
    baseRevision,
    profile: plainProfile(name),
  },
});

interface BenchNode {
  readonly settings: VmSettings;
  readonly replica: ReplicaTask;
  readonly voter?: ConsensusTask<CellCommand, CellResult>;
  readonly folder?: NodeFolder;
}

/** VMs in one process: three voters in three zones, the others as followers. */
class BenchCell {
  readonly nodes = new Map<VmId, BenchNode>();
  private readonly stopped = new Set<VmId>();
  private readonly followTasks: FollowTask[] = [];
  private readonly root = mkdtempSync(
    path.join(tmpdir(), 'primrosewick-bench-'),
  );

  private constructor(readonly vms: readonly VmSettings[]) {}

  static async create(vmCount: number): Promise<BenchCell> {
    const vms = Array.from({length: vmCount}, (_none, i) => ({
      vm: asId<VmId>(`v${i}`),
      zone: asId<ZoneId>(`z${i % 3}`),
      peer: '',
      disk: i < 3,
    }));
    const cell = new BenchCell(vms);
    for (const settings of vms) await cell.startNode(settings);
    await cell.waitForVoters();
    for (const settings of vms.slice(3)) cell.startFollowing(settings);
    return cell;
  }

  get leader(): BenchNode | undefined {
    return [...this.nodes.values()].find(
      ({settings, voter}) =>
        voter?.status.role === 'leader' && !this.stopped.has(settings.vm),
    );
  }

  /** Fails all peer calls from and to a VM, as if it had been killed. */
  cutOff(vm: VmId): void {
    this.stopped.add(vm);
  }

  async destroy(): Promise<void> {
    for (const follow of this.followTasks) follow.stop();
    for (const {voter, folder} of this.nodes.values()) {
      voter?.stop();
      await folder?.close();
    }
    rmSync(this.root, {recursive: true, force: true});
  }

  private async startNode(settings: VmSettings): Promise<void> {
    const replica = new ReplicaTask(systemClock);
    const started = settings.disk
      ? await this.startVoter(settings, replica)
      : {};
    this.nodes.set(settings.vm, {settings, replica, ...started});
  }

  private async startVoter(
    settings: VmSettings,
    replica: ReplicaTask,
  ): Promise<{
    voter: ConsensusTask<CellCommand, CellResult>;
    folder: NodeFolder;
  }> {
    const folder = await NodeFolder.open(path.join(this.root, settings.vm));
    const node = makeNodeId(settings.vm, 'b');
    const isInitialVoter = settings.vm === 'v0';
    const restored = isInitialVoter
      ? singleVoterState<CellCommand>(node)
      : emptyState<CellCommand>();
    if (isInitialVoter) await replaceState(folder, restored);
    const voter = new ConsensusTask({
      node,
      folder,
      restored,
      replica,
      peers: this.peersOf(settings),
      clock: systemClock,
      timing: {},
      seed: settings.vm.charCodeAt(1),
      maxProposals: 10_000,
      onFailure: err => process.stderr.write(`${err.message}\n`),
    });
    voter.start();
    return {voter, folder};
  }

  private startFollowing(settings: VmSettings): void {
    const {replica} = this.nodes.get(settings.vm)!;
    const sources = rankFollowSources(this.vms, settings);
    const voters = this.vms.filter(({disk}) => disk).map(({vm}) => vm);
    const follow = new FollowTask({
      replica,
      peers: this.peersOf(settings),
      clock: systemClock,
      boot: 'b',
      sources,
      voters,
    });
    this.followTasks.push(follow);
    void follow.run();
  }

  /** Adds the other two voters as the daemon does; waits for all commits. */
  private async waitForVoters(): Promise<void> {
    for (;;) {
      const status = this.leader?.voter?.status;
      if (
        status?.members.voters.length === 3 &&
        status.commitIndex === status.lastIndex
      )
        return;
      await this.advanceMembership();
      await sleep(100);
    }
  }

  private async advanceMembership(): Promise<void> {
    const leader = this.leader?.voter;
    if (!leader) return;
    const {members, commitIndex, matches} = leader.status;
    const announced = this.vms
      .slice(0, 3)
      .map(({vm}) => ({vm, node: makeNodeId(vm, 'b')}));
    const caughtUp = new Set(
      matches.filter(({index}) => index >= commitIndex).map(({node}) => node),
    );
    const next = nextMemberChange({members, announced, caughtUp});
    if (next) await leader.changeMembers(next).catch(() => undefined);
  }

  private peersOf(from: VmSettings): PeerCaller {
    return {
      call: async <M extends PeerMethod>(
        to: VmId,
        method: M,
        request: PeerMethods[M]['request'],
      ) => {
        const target = this.nodes.get(to);
        if (!target || this.stopped.has(to) || this.stopped.has(from.vm))
          throw new Error('VM is cut off');
        const delayMs =
          target.settings.zone === from.zone ? IN_ZONE_MS : CROSS_ZONE_MS;
        await sleep(delayMs);
        const reply = await this.answer(from.vm, target, method, request);
        await sleep(delayMs);
        return reply as PeerMethods[M]['reply'];
      },
    };
  }

  private async answer(
    from: VmId,
    target: BenchNode,
    method: PeerMethod,
    request: unknown,
  ): Promise<unknown> {
    if (method === 'consensus') {
      const {envelopes} = request as {
        envelopes: Array<PackedEnvelope<CellCommand>>;
      };
      return {envelopes: (await target.voter?.receive(from, envelopes)) ?? []};
    }
    if (method === 'follow')
      return target.replica.follow(request as PeerMethods['follow']['request']);
    if (method !== 'readIndex') throw new Error(`unsupported method ${method}`);
    if (target.voter?.status.role !== 'leader')
      return {kind: 'not_leader', leader: null};
    return {kind: 'ok', value: {index: await target.voter.readIndex()}};
  }
}

/**
 * Commits a command through the current leader. On a busy machine the leader
 * may change meanwhile; proposals that it then rejects are retried.
 */
const commit = async (cell: BenchCell, command: CellCommand): Promise<void> => {
  for (;;) {
    const outcome = await cell.leader?.voter
      ?.propose(command)
      .catch(() => undefined);
    if (outcome) return;
    await sleep(10);
  }
};

/** Measures the latency of commits, compared with one sync of the same disk. */
export const benchLog = async (): Promise<Table> => {
  const root = mkdtempSync(path.join(tmpdir(), 'primrosewick-bench-'));
  const folder = await NodeFolder.open(root);
  const syncMs = await measureEachMs(200, () =>
    folder.append('sync', Buffer.alloc(400)),
  );
  await folder.close();
  rmSync(root, {recursive: true, force: true});
  const cell = await BenchCell.create(3);
  const sequentialMs = await measureEachMs(200, i =>
    commit(cell, profileChange('alone', i)),
  );
  const startedAt = performance.now();
  const concurrency = 64;
  const commitCount = 4000;
  let startedCount = 0;
  const concurrentMs: number[] = [];
  const runLane = async (lane: number): Promise<void> => {
    for (let i = 0; startedCount++ < commitCount; i++)
      concurrentMs.push(
        await measureMs(() => commit(cell, profileChange(`lane${lane}`, i))),
      );
  };
  await Promise.all(
    Array.from({length: concurrency}, (_none, lane) => runLane(lane)),
  );
  const rate = Math.round(
    (1000 * commitCount) / (performance.now() - startedAt),
  );
  await cell.destroy();
  return {
    heading: `Commits of three voters, ${CROSS_ZONE_MS} ms apart one way`,
    columns: ['what', 'p50 ms', 'p99 ms', 'a second'],
    rows: [
      [
        'one sync of the disk (baseline)',
        round(quantile(syncMs, 0.5), 2),
        round(quantile(syncMs, 0.99), 2),
        '',
      ],
      [
        'commit, one at a time',
        round(quantile(sequentialMs, 0.5), 2),
        round(quantile(sequentialMs, 0.99), 2),
        '',
      ],
      [
        `commit, ${concurrency} in parallel`,
        round(quantile(concurrentMs, 0.5), 2),
        round(quantile(concurrentMs, 0.99), 2),
        rate,
      ],
    ],
  };
};

/** Measures the time from the loss of the leader to the next accepted write. */
export const benchRecovery = async (): Promise<Table> => {
  const tookMs: number[] = [];
  for (let i = 0; i < 5; i++) {
    const cell = await BenchCell.create(3);
    const lost = cell.leader!;
    cell.cutOff(lost.settings.vm);
    tookMs.push(await measureMs(() => awaitFirstCommit(cell)));
    await cell.destroy();
  }
  return {
    heading: 'Recovery of the cell log after the loss of its leader',
    columns: ['losses', 'p50 ms', 'longest ms'],
    rows: [
      [
        tookMs.length,
        Math.round(quantile(tookMs, 0.5)),
        Math.round(Math.max(...tookMs)),
      ],
    ],
  };
};

const awaitFirstCommit = async (cell: BenchCell): Promise<void> => {
  for (;;) {
    const isCommitted = await cell.leader?.voter
      ?.propose(profileChange('after', 0))
      .then(
        () => true,
        () => false,
      );
    if (isCommitted) return;
    await sleep(10);
  }
};

/** Measures the time to restore a log from disk and apply its entries. */
export const benchRestart = async (): Promise<Table> => {
  const rows: number[][] = [];
  for (const count of [500, 5000, 50_000]) {
    const root = mkdtempSync(path.join(tmpdir(), 'primrosewick-bench-'));
    const folder = await NodeFolder.open(root);
    const writer = new StateWriter(folder, 0);
    for (let from = 1; from <= count; from += 500) {
      const entries = Array.from({length: 500}, (_none, i) =>
        makeEntry(from + i),
      );
      await writer.persist<CellCommand>([{kind: 'append', entries}], () =>
        emptyState(),
      );
    }
    const tookMs = await measureMs(async () => {
      const {entries} = await restoreState<CellCommand>(folder);
      const {replica} = new ReplicaTask(systemClock);
      for (const {index, body} of entries)
        if (body.kind === 'command')
          replica.apply({index, command: body.command});
    });
    await folder.close();
    rmSync(root, {recursive: true, force: true});
    rows.push([count, Math.round(tookMs)]);
  }
  return {
    heading:
      'Restart from a log without a snapshot (a voter makes one every 4,000 entries)',
    columns: ['entries', 'ms'],
    rows,
  };
};

const makeEntry = (index: number): Entry<CellCommand> => ({
  term: 1,
  index,
  body: {
    kind: 'command',
    command: profileChange(`p${index % 100}`, Math.floor((index - 1) / 100)),
  },
});

/** Measures the time until a change of a profile is applied on every VM. */
export const benchPropagation = async (): Promise<Table> => {
  const rows: Array<Array<number>> = [];
  for (const vmCount of [7, 70]) {
    const cell = await BenchCell.create(vmCount);
    await sleep(3000);
    const tookMs: number[] = [];
    for (let i = 0; i < 20; i++)
      tookMs.push(await measureMs(() => awaitChangeEverywhere(cell, i)));
    rows.push([
      vmCount,
      Math.round(quantile(tookMs, 0.5)),
      Math.round(Math.max(...tookMs)),
      14_000,
    ]);
    await cell.destroy();
  }
  return {
    heading: 'Time until a profile is in force on every VM',
    columns: ['VMs', 'p50 ms', 'longest ms', 'target ms'],
    rows,
  };
};

const awaitChangeEverywhere = async (
  cell: BenchCell,
  base: number,
): Promise<void> => {
  const result = await cell.leader!.voter!.propose(
    profileChange('everywhere', base),
  );
  const isBehind = (): boolean =>
    [...cell.nodes.values()].some(
      ({replica}) => replica.replica.index < result.index,
    );
  while (isBehind()) await sleep(1);
};

const measureMs = async (action: () => Promise<unknown>): Promise<number> => {
  const before = performance.now();
  await action();
  return performance.now() - before;
};

const measureEachMs = async (
  count: number,
  action: (i: number) => Promise<unknown>,
): Promise<number[]> => {
  const tookMs: number[] = [];
  for (let i = 0; i < count; i++) tookMs.push(await measureMs(() => action(i)));
  return tookMs;
};
