import type {ServiceName} from '../ids/types.js';
import {reviverOf} from '../utils/image.js';

/** Weight of the newest sample in the moving average. */
const SAMPLE_WEIGHT = 0.1;

/**
 * Exponential moving averages of the time that requests take at upstreams, in
 * ms.
 */
export class ServiceTimes {
  private readonly means = new Map<string, number>();

  /** Adds a sample. */
  add(service: ServiceName, cls: string, tookMs: number): void {
    this.addTo(service, tookMs);
    this.addTo(`${service}\n${cls}`, tookMs);
  }

  /** Average over all classes of a service; 0 without samples. */
  mean(service: ServiceName): number {
    return this.means.get(service) ?? 0;
  }

  /** Average of one class; 0 without samples. */
  expected(service: ServiceName, cls: string): number {
    return this.means.get(`${service}\n${cls}`) ?? 0;
  }

  private addTo(key: string, tookMs: number): void {
    const known = this.means.get(key);
    const next =
      known === undefined ? tookMs : known + SAMPLE_WEIGHT * (tookMs - known);
    this.means.set(key, next);
  }
}

/** Restores the averages from their deserialized state. */
export const reviveServiceTimes = reviverOf(ServiceTimes.prototype);
