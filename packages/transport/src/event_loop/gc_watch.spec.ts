import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {watchGarbageCollection} from './gc_watch.js';
import {WorkMeter} from './work_meter.js';

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;
const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

describe('watch of collections', () => {
  it('the time of a collection is added, and nothing after the end', async () => {
    const meter = new WorkMeter();
    const end = watchGarbageCollection(meter);
    collect();
    await pause(50);
    end();
    const told = meter.times.gc;
    expect(told).to.be.greaterThan(0);
    collect();
    await pause(50);
    expect(meter.times.gc).to.equal(told);
  });
});
