import {expect} from 'chai';
import {ZoneWorld} from './zone_world.js';

const SEEDS = [6201, 6202, 6203, 6204, 6205];

/** A calm zone under a steady load of short requests. */
const loadedZone = async (seed: number): Promise<ZoneWorld> => {
  const world = new ZoneWorld(seed, 3);
  await world.start();
  world.isCalm = true;
  return world;
};

const load = async (world: ZoneWorld, rounds: number): Promise<void> => {
  for (let i = 0; i < rounds; i++) {
    world.request({
      vm: i,
      isIdempotent: false,
      key: undefined,
      serviceMs: 120,
      deadlineMs: 5000,
      hangUpMs: undefined,
    });
    await world.advance(60);
  }
};

describe('leaving upstream', () => {
  for (const seed of SEEDS) {
    it(`gets no new work after 2 s and cuts nothing off (seed ${seed})`, async () => {
      const world = await loadedZone(seed);
      await load(world, 30);
      world.upstreams[0]!.leave();
      await load(world, 100);
      await world.settle();
      expect(Object.keys(world.oracle.counts)).to.deep.equal(['whole']);
    });
  }
});
