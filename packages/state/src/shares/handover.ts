/**
 * Handover of a share ledger to the next leader; deadlines are sent as
 * remaining times.
 */
import type {LedgerTables} from './tables.js';
import type {ShareHandover} from './types.js';

/**
 * Exports the tables of a ledger, with times as ages and remaining times at
 * `now`.
 */
export const exportTables = (
  {upstreams, holders}: LedgerTables,
  now: number,
): Omit<ShareHandover, 'ageMs'> => ({
  upstreams: [...upstreams.values()].map(({report, reportedAt, loans}) => ({
    report,
    ageMs: now - reportedAt,
    loans: [...loans].map(([holder, {slots, deadline}]) => ({
      holder,
      slots,
      leftMs: deadline - now,
    })),
  })),
  holders: [...holders].map(([holder, {seq, deadline, isForeign, wants}]) => ({
    holder,
    seq,
    leftMs: deadline - now,
    isForeign,
    wants: [...wants].map(([service, slots]) => ({service, slots})),
  })),
});

/**
 * Fills empty tables from a handover that took place at the local time `at`.
 */
export const importTables = (
  tables: LedgerTables,
  {upstreams, holders}: ShareHandover,
  at: number,
): void => {
  for (const {report, ageMs, loans} of upstreams)
    tables.upstreams.set(report.upstream, {
      report,
      reportedAt: at - ageMs,
      loans: new Map(
        loans.map(({holder, slots, leftMs}) => [
          holder,
          {slots, deadline: at + leftMs},
        ]),
      ),
    });
  for (const {holder, seq, leftMs, isForeign, wants} of holders)
    tables.holders.set(holder, {
      seq,
      deadline: at + leftMs,
      isForeign,
      wants: new Map(wants.map(({service, slots}) => [service, slots])),
    });
};
