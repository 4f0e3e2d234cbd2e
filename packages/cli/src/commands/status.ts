import {defineCommand} from 'citty';
import type {VmStatus} from '@primrosewick/protocol';
import {sleep} from '@primrosewick/transport';
import {COMMON_ARGS, createApi} from '../client/api.js';
import {printJson, runCommand} from '../output/run.js';
import {formatTable} from '../output/table.js';

type VmRow = VmStatus & {readonly error?: {readonly code: string}};

/** State of the whole cell as reported by one entry. */
export interface CellStatus {
  readonly cell: string;
  readonly asked: string;
  readonly vms: readonly VmRow[];
}

const WATCH_INTERVAL_MS = 2000;

/** Shows the state of the whole cell. */
export const statusCommand = defineCommand({
  meta: {
    name: 'status',
    description:
      'Show the state of the cell. Example: primrosewick status --watch',
  },
  args: {
    watch: {type: 'boolean', description: 'Print the state again every 2 s.'},
    ...COMMON_ARGS,
  },
  run: ({args}) =>
    runCommand(async () => {
      const api = createApi(args);
      do {
        const status = await api.get<CellStatus>('/v1/status');
        if (args.json) printJson(status);
        else process.stdout.write(formatStatus(status));
        if (args.watch) await sleep(WATCH_INTERVAL_MS);
      } while (args.watch);
    }),
});

const formatStatus = ({cell, asked, vms}: CellStatus): string => {
  const sections = [
    `cell ${cell}, as seen by ${asked}\n`,
    formatTable(
      [
        'VM',
        'ZONE',
        'STATE',
        'LOG',
        'INDEX',
        'STALE MS',
        'LEADS ZONE',
        'QUEUED',
        'RUNNING',
      ],
      vms.map(vmRow),
    ),
    formatTable(
      ['UPSTREAM', 'SERVICE', 'SLOTS', 'LENT', 'IN FLIGHT', 'STATE'],
      vms.flatMap(upstreamRows),
    ),
    formatTable(
      ['WORKER', 'RACK', 'STATE', 'CPU USED', 'TASKS'],
      vms.flatMap(workerRows),
    ),
  ];
  return sections.join('\n');
};

const vmRow = (vm: VmRow): string[] => {
  if (vm.error) return [vm.vm, vm.zone, vm.error.code, '', '', '', '', '', ''];
  const state = vm.isStopping ? 'stopping' : vm.isReady ? 'ready' : 'starting';
  const leads =
    vm.zoneLeader.vm === vm.vm ? `epoch ${vm.zoneLeader.epoch}` : '';
  const log = vm.log ? (vm.log.failure ? 'failed' : vm.log.role) : '';
  return [
    vm.vm,
    vm.zone,
    state,
    log,
    String(vm.appliedIndex),
    String(vm.staleMs),
    leads,
    String(vm.queued),
    String(vm.running),
  ];
};

/** Rows of a VM's upstreams. */
export const upstreamRows = (vm: VmRow): string[][] =>
  (vm.upstreams ?? []).map(
    ({upstream, service, slots, lent, inFlight, state}) => [
      upstream,
      service,
      String(slots),
      String(lent),
      String(inFlight),
      state,
    ],
  );

/** Rows of a VM's workers. */
export const workerRows = (vm: VmRow): string[][] =>
  (vm.workers ?? []).map(
    ({worker, rack, state, cpuMillis, usedCpuMillis, tasks}) => [
      worker,
      rack,
      state,
      `${usedCpuMillis}/${cpuMillis}`,
      String(tasks),
    ],
  );
