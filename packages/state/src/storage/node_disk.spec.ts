import {mkdtemp, rm, stat} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {NodeFolder} from './node_disk.js';

const modeOf = async (file: string): Promise<number> =>
  (await stat(file)).mode & 0o777;

describe('data folder', () => {
  // Guards against other users of a VM that read the keys of customers in the log.
  it('is open to its owner only', async () => {
    const parent = await mkdtemp(path.join(tmpdir(), 'folder-'));
    try {
      const root = path.join(parent, 'data');
      const folder = await NodeFolder.open(root, {lock: 'none'});
      await folder.append('log', Buffer.from('a'));
      await folder.replace('snapshot', Buffer.from('b'));
      await folder.close();
      expect(await modeOf(root)).to.equal(0o700);
      expect(await modeOf(path.join(root, 'log'))).to.equal(0o600);
      expect(await modeOf(path.join(root, 'snapshot'))).to.equal(0o600);
    } finally {
      await rm(parent, {recursive: true});
    }
  });
});
