import {STANDING_DAYS, playDay} from './standing_days.js';
import {WorkflowWorld} from './workflow_world.js';

const TIMEOUT_MS = 60_000;
const LEASES_MS = [6000, 10_000];

// Guards against LOST: a job has nothing running while a task's turn has come and
// workers are free, as something is waited out that nobody has to wait for.
describe('jobs do not stand while workers are free', () => {
  for (const day of STANDING_DAYS)
    for (const maxLeaseMs of LEASES_MS)
      it(`${day.title}, longest lease ${maxLeaseMs} ms`, async () => {
        const world = new WorkflowWorld(1, {
          maxLeaseMs,
          refusesWhenDown: true,
          checksStanding: true,
        });
        await world.start();
        await playDay(world, day);
        await world.settle();
      }).timeout(TIMEOUT_MS);
});
