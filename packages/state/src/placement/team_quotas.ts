import {reviverOf} from '../utils/image.js';
import type {QuotaRecord} from '../cell/types.js';
import type {TeamName} from '../ids/types.js';

/** CPU reserved by the tasks of each team, against its quota. */
export class TeamQuotas {
  private limits = new Map<TeamName, number>();
  private readonly used = new Map<TeamName, number>();

  /** Replaces the quotas; a team without one is unlimited. */
  setLimits(quotas: readonly QuotaRecord[]): void {
    this.limits = new Map(quotas.map(({team, cpuMillis}) => [team, cpuMillis]));
  }

  /** Whether a team may start one more task of a size. */
  allows(team: TeamName, cpuMillis: number): boolean {
    const limit = this.limits.get(team);
    return limit === undefined || this.usedBy(team) + cpuMillis <= limit;
  }

  /** Adds to the usage of a team; a negative amount reduces it. */
  add(team: TeamName, cpuMillis: number): void {
    this.used.set(team, this.usedBy(team) + cpuMillis);
  }

  private usedBy(team: TeamName): number {
    return this.used.get(team) ?? 0;
  }
}

/** Restores the quotas from their deserialized state. */
export const reviveTeamQuotas = reviverOf(TeamQuotas.prototype);
