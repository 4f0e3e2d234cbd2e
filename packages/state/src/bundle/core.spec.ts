import {expect} from 'chai';
import {findBundleError, matchQueue} from './core.js';
import {testBundle, testQueue} from './fixtures.js';

describe('bundle', () => {
  it('the longest prefix of the host wins', () => {
    const bundle = testBundle({
      queues: [
        testQueue({name: 'short', host: 'h', prefix: '/a/'}),
        testQueue({name: 'long', host: 'h', prefix: '/a/b/'}),
        testQueue({name: 'other', host: 'g', prefix: '/a/b/c/'}),
      ],
    });
    const match = matchQueue(bundle, 'h', '/a/b/c/1');
    expect(match?.queue.name).to.equal('long');
    expect(match?.rest).to.equal('c/1');
    expect(matchQueue(bundle, 'h', '/b')).to.equal(undefined);
  });
  it('an unknown pool is an error', () => {
    const bundle = testBundle({queues: [testQueue({pool: 'none'})]});
    expect(findBundleError(bundle)).to.contain('unknown pool');
  });
  it('two queues with the same host and prefix are an error', () => {
    const bundle = testBundle({
      queues: [testQueue({name: 'a'}), testQueue({name: 'b'})],
    });
    expect(findBundleError(bundle)).to.contain('share host');
  });
  it('a valid bundle has no error', () => {
    expect(findBundleError(testBundle({}))).to.equal(undefined);
  });
});
