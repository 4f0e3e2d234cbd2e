/** Meters the garbage collections of this process. */
import {PerformanceObserver} from 'node:perf_hooks';
import type {WorkMeter} from './work_meter.js';

/** Adds the duration of each collection to a meter; @returns a function that stops it. */
export const watchGarbageCollection = (meter: WorkMeter): (() => void) => {
  const observer = new PerformanceObserver(list => {
    for (const {duration} of list.getEntries()) meter.add('gc', duration);
  });
  observer.observe({entryTypes: ['gc']});
  return () => observer.disconnect();
};
