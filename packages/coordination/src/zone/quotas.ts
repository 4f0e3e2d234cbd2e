import type {
  CellState,
  JobRecord,
  QuotaRecord,
  TeamName,
  ZoneId,
} from '@primrosewick/state';

/** CPU demand of a job's unfinished tasks, in thousandths of a core. */
const demandOf = ({spec, ended}: JobRecord): number =>
  (spec.taskCount - ended.length) * spec.size.cpuMillis;

/**
 * Divides each team's quota among the zones in proportion to the demand of its
 * open jobs there, so that each zone can apply its part independently.
 * @param state - the cell state.
 * @param zone - the zone whose quotas are returned.
 */
export const zoneQuotas = (state: CellState, zone: ZoneId): QuotaRecord[] => {
  const quotas = state.listQuotas();
  if (quotas.length === 0) return [];
  const demand = new Map<TeamName, {all: number; here: number}>();
  for (const job of state.listJobs()) {
    if (job.state === 'done') continue;
    const {team} = job.spec;
    const known = demand.get(team) ?? {all: 0, here: 0};
    const wanted = demandOf(job);
    demand.set(team, {
      all: known.all + wanted,
      here: known.here + (job.homeZone === zone ? wanted : 0),
    });
  }
  return quotas.map(({team, cpuMillis}) => {
    const {all, here} = demand.get(team) ?? {all: 0, here: 0};
    return {
      team,
      cpuMillis: all === 0 ? cpuMillis : Math.floor((cpuMillis * here) / all),
    };
  });
};
