import {expect} from 'chai';
import {parseSettings, SettingsError} from './core.js';
import {defaultsText} from './page.js';

const GOOD = `{
  // A cell of one VM.
  "cell": "demo",
  "vm": "a1",
  "dataFolder": "data/a1",
  "operatorTokenFile": "token",
  "listen": {
    "client": "127.0.0.1:7001",
    "platform": "127.0.0.1:7002",
    "operator": "127.0.0.1:7003",
    "peer": "127.0.0.1:7004"
  },
  "vms": [
    {"vm": "a1", "zone": "a", "peer": "127.0.0.1:7004", "disk": true}
  ]
}`;

const issuesOf = (text: string): string => {
  try {
    parseSettings(text, 'f.jsonc');
    return '';
  } catch (err) {
    if (err instanceof SettingsError) return err.message;
    throw err;
  }
};

describe('settings', () => {
  it('accepts comments and fills in defaults', () => {
    expect(parseSettings(GOOD, 'f.jsonc').timing.heartbeatMs).to.equal(500);
  });
  it('names the line of an unknown key', () => {
    expect(
      issuesOf(GOOD.replace('"vm": "a1",', '"vm": "a1", "color": 1,')),
    ).to.equal('f.jsonc:4: color: unknown key');
  });
  it('names the line of a bad address', () => {
    expect(issuesOf(GOOD.replace('127.0.0.1:7002', 'localhost:7002'))).to.match(
      /^f\.jsonc:9: listen\.platform: must be an IP/,
    );
  });
  it('names a duplicate id', () => {
    const twice = GOOD.replace(
      '"disk": true}',
      '"disk": true},\n    {"vm": "a1", "zone": "a", "peer": "127.0.0.1:7005"}',
    );
    expect(issuesOf(twice)).to.equal('f.jsonc:15: vms.1.vm: duplicate id "a1"');
  });
  it('names a missing peer', () => {
    expect(issuesOf(GOOD.replace('"vm": "a1",', '"vm": "a2",'))).to.include(
      'missing peer: no entry for this VM "a2"',
    );
  });
  it('names the line of a syntax error', () => {
    expect(
      issuesOf(GOOD.replace('"cell": "demo",', '"cell": "demo"')),
    ).to.match(/^f\.jsonc:4: /);
  });
  it('the printed defaults are valid', () => {
    const merged = defaultsText()
      .trim()
      .replace(/^\{/, '')
      .replace(/,?\n\}$/, '');
    expect(issuesOf(GOOD.replace(/\n\}$/, `,${merged}\n}`))).to.equal('');
  });
});
