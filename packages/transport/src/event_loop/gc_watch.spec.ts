import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {watchGarbageCollection} from './gc_watch.js';
import {WorkMeter} from './work_meter.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

describe('watchGarbageCollection', () => {
  it('adds the duration of collections until it is stopped', async () => {
    const meter = new WorkMeter();
    const stop = watchGarbageCollection(meter);
    collectGarbage();
    await pause(50);
    stop();
    const gcMs = meter.times.gc;
    expect(gcMs).to.be.greaterThan(0);
    collectGarbage();
    await pause(50);
    expect(meter.times.gc).to.equal(gcMs);
  });
});
