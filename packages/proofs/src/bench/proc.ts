/**
 * Resource use of a daemon process, read from `/proc` and from its own metrics.
 */
import {readFileSync} from 'node:fs';
import {callHttp, sleep} from '@primrosewick/transport';
import type {Cell} from '@primrosewick/standins';

/** Resource use of the daemon on one VM, averaged over an interval. */
export interface Usage {
  /** CPU time in percent of one core. */
  readonly cpuPercent: number;
  readonly memoryMb: number;
  /** Peer traffic within the zone, sent and received, in bytes per second. */
  readonly inZoneBytesPerSecond: number;
  /** Peer traffic with other zones, sent and received, in bytes per second. */
  readonly crossZoneBytesPerSecond: number;
}

interface Reading {
  readonly cpuMs: number;
  readonly memoryMb: number;
  readonly inZoneBytes: number;
  readonly crossZoneBytes: number;
}

const TICKS_PER_SECOND = 100;

const takeReading = async (cell: Cell, vm: string): Promise<Reading> => {
  const pid = cell.pidOf(vm);
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .split(') ')[1]!
    .split(' ');
  const cpuMs =
    ((Number(fields[11]) + Number(fields[12])) * 1000) / TICKS_PER_SECOND;
  const memoryKb = Number(
    /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ??
      0,
  );
  const response = await callHttp({
    address: cell.getVm(vm).operator,
    method: 'GET',
    path: '/metrics',
    timeoutMs: 5000,
    maxResponseBytes: 1 << 22,
  });
  const text = response.body.toString('utf8');
  return {
    cpuMs,
    memoryMb: memoryKb / 1024,
    inZoneBytes: sumPeerBytes(text, 'in_zone'),
    crossZoneBytes: sumPeerBytes(text, 'cross_zone'),
  };
};

const sumPeerBytes = (metrics: string, scope: string): number => {
  const lines = metrics
    .split('\n')
    .filter(
      line =>
        line.startsWith('primrosewick_peer_bytes_total') &&
        line.includes(`"${scope}"`),
    );
  return lines.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
};

/** Measures the resource use of the daemon on one VM over an interval. */
export const measureUsage = async (
  cell: Cell,
  vm: string,
  durationMs: number,
): Promise<Usage> => {
  const before = await takeReading(cell, vm);
  const startedAt = performance.now();
  await sleep(durationMs);
  const after = await takeReading(cell, vm);
  const tookMs = performance.now() - startedAt;
  const perSecond = (from: number, to: number): number =>
    ((to - from) * 1000) / tookMs;
  return {
    cpuPercent: (100 * (after.cpuMs - before.cpuMs)) / tookMs,
    memoryMb: after.memoryMb,
    inZoneBytesPerSecond: perSecond(before.inZoneBytes, after.inZoneBytes),
    crossZoneBytesPerSecond: perSecond(
      before.crossZoneBytes,
      after.crossZoneBytes,
    ),
  };
};
