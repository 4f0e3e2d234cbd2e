import {expect} from 'chai';
import {Router} from './router.js';

const router = new Router([
  {method: 'GET', pattern: '/v1/jobs/:id', handler: 'job'},
  {
    method: '*',
    pattern: '/v1/services/:service/requests/*',
    handler: 'request',
  },
]);

describe('router', () => {
  it('extracts path parameters', () => {
    expect(router.find('GET', '/v1/jobs/job-7')).to.deep.equal({
      kind: 'found',
      match: {handler: 'job', params: {id: 'job-7'}},
    });
  });
  it('matches the rest of the path with a final star', () => {
    const lookup = router.find('POST', '/v1/services/desk/requests/a/b');
    expect(lookup).to.have.nested.property('match.params.rest', '/a/b');
  });
  it('distinguishes a wrong method from an unknown path', () => {
    expect(router.find('POST', '/v1/jobs/job-7').kind).to.equal('wrong_method');
    expect(router.find('GET', '/v2').kind).to.equal('unknown_path');
  });
});
