import bunyan from 'bunyan';
import {expect} from 'chai';
import type {CellError, VmId} from '@primrosewick/state';
import {TestLog, testSpec, testStep} from '@primrosewick/state/fixtures';
import {sleep, systemClock} from '@primrosewick/transport';
import {WorkflowReplica} from '../workflow/replica.js';
import {WorkflowService} from '../workflow/service.js';
import {LoadSheddingTask} from './task.js';

const logger = bunyan.createLogger({name: 'spec', level: 'fatal' as never});
const [QUEUE] = new TestLog().db.bundle!.queues;
const KNOWN = '5c0e7a21d94b36f8';
const NEW = '5c0e7a21d94b36f9';

/** A leader with one accepted workflow, on the system clock. */
const makeLeader = () => {
  const log = new TestLog();
  log.submit(KNOWN, testSpec([testStep()]));
  const replica = new WorkflowReplica();
  replica.restore(log.db.toImage());
  const load = new LoadSheddingTask(systemClock);
  const service = new WorkflowService({
    replica,
    log: {
      isLeading: true,
      leaderVm: 'own' as VmId,
      propose: async () => ({kind: 'applied'}) as never,
      readIndex: async () => replica.index,
    },
    clock: systemClock,
    logger,
    load,
    onAnnouncement: () => undefined,
  });
  const ask = (kind: 'submit' | 'get' | 'cancel', id: string) => {
    const address = {host: QUEUE!.host, path: `${QUEUE!.prefix}${id}`};
    const request =
      kind === 'submit'
        ? {kind, ...address, spec: testSpec([testStep()])}
        : {kind, ...address};
    return service.handle(request).then(
      reply => (reply.kind === 'ok' ? reply.value.kind : reply.kind),
      (err: CellError) => `${err.code} ${err.outcome} ${err.retryAfterMs}`,
    );
  };
  return {load, ask};
};

/** Blocks the event loop for the given number of turns of 500 ms each. */
const blockEventLoop = async (turns: number): Promise<void> => {
  for (let turn = 0; turn < turns; turn++) {
    const until = performance.now() + 500;
    while (performance.now() < until);
    await sleep(0);
  }
};

describe('an overloaded leader', () => {
  it('refuses new work at once and keeps serving accepted workflows', async () => {
    const {load, ask} = makeLeader();
    load.start();
    try {
      expect(await ask('submit', NEW)).to.equal('accepted');
      await blockEventLoop(6);
      expect(await ask('submit', NEW)).to.equal('leader_late not_run 1000');
      expect(await ask('submit', KNOWN)).to.equal('accepted');
      expect(await ask('get', KNOWN)).to.equal('state');
      expect(await ask('cancel', KNOWN)).to.equal('cancelled');
      await sleep(1500);
      expect(await ask('submit', NEW)).to.equal('accepted');
    } finally {
      load.stop();
    }
  }).timeout(20_000);
});
