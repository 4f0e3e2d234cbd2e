import {expect} from 'chai';
import {HttpFailure, callHttp, type HttpCall} from './client.js';

const CALL: HttpCall = {
  address: '127.0.0.1:1',
  method: 'GET',
  path: '/',
  timeoutMs: 500,
  maxResponseBytes: 1000,
};

/** What no request can be made from, by what is wrong with it. */
const ODD_CALLS: Readonly<Record<string, Partial<HttpCall>>> = {
  'port 99999': {address: '127.0.0.1:99999'},
  'a port of twenty digits': {address: '127.0.0.1:12345678901234567890'},
  'port 0': {address: '127.0.0.1:0'},
  'a port of 1.5': {address: '127.0.0.1:1.5'},
  'no port': {address: '127.0.0.1'},
  'an empty address': {address: ''},
  'a blank in its path': {path: '/a b'},
  'a line break in its path': {path: '/a\r\nb'},
  'a line break in a header': {headers: {'x-id': 'a\nb'}},
  'a wide character in a header': {headers: {'x-id': 'ł'}},
  'an odd name of a header': {headers: {'x id': 'a'}},
  'an odd method': {method: 'G T'},
};

describe('calls that cannot be made', () => {
  for (const [wrong, part] of Object.entries(ODD_CALLS))
    it(`a call with ${wrong} fails as unsent`, async () => {
      const outcome = await callHttp({...CALL, ...part}).catch(
        (err: unknown) => err,
      );
      expect(outcome).to.be.instanceOf(HttpFailure);
      expect(outcome).to.include({kind: 'unreachable', mayHaveSent: false});
    });
});
