import {expect} from 'chai';
import {matchQueue} from './core.js';
import {testBundle, testQueue} from './fixtures.js';
import type {Bundle, Queue} from './types.js';

/** The oracle: walks all queues. */
const walkQueues = (
  {queues}: Bundle,
  host: string,
  path: string,
): Queue | undefined => {
  let best: Queue | undefined;
  for (const queue of queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (!best || queue.prefix.length > best.prefix.length) best = queue;
  }
  return best;
};
const HOSTS = ['h', 'g', ''];
/** All strings of up to four of the characters `/`, `a` and `b`. */
const PATHS = ['', '/', 'a', 'b'].flatMap(a =>
  ['', '/', 'a', 'b'].flatMap(b =>
    ['', '/', 'a', 'b'].flatMap(c =>
      ['', '/', 'a', 'b'].map(d => a + b + c + d),
    ),
  ),
);

describe('index of queues', () => {
  it('finds what a walk over all queues finds', () => {
    for (let step = 1; step < 40; step++) {
      const queues = HOSTS.flatMap((host, h) =>
        PATHS.filter((_, i) => (i + h) % step === 0).map((prefix, i) =>
          testQueue({name: `${host}${i}`, host, prefix}),
        ),
      );
      const bundle = testBundle({queues});
      for (const host of [...HOSTS, 'none'])
        for (const path of PATHS)
          expect(matchQueue(bundle, host, path)?.queue).to.equal(
            walkQueues(bundle, host, path),
          );
    }
  });
  it('the queues of a bundle are not walked for each question', () => {
    let walks = 0;
    const queues = [testQueue({host: 'h', prefix: '/a/'})];
    const bundle = Object.defineProperty(testBundle({}), 'queues', {
      get: () => {
        walks++;
        return queues;
      },
    });
    for (let i = 0; i < 10; i++) matchQueue(bundle, 'h', '/a/1');
    expect(walks).to.equal(1);
  });
});
