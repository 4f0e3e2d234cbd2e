import {expect} from 'chai';
import type {Bundle} from '@primrosewick/state';
import {TestLog} from '@primrosewick/state/fixtures';
import {BundleWriter} from './bundle_writer.js';

const bundleOf = (version: number): Bundle => ({
  ...new TestLog().db.bundle!,
  version,
});

/** A writer whose records end when the test says so. */
const makeWriter = () => {
  const db = {bundle: bundleOf(5)};
  const proposed: number[] = [];
  const held: Array<(err?: Error) => void> = [];
  const writer = new BundleWriter({
    db,
    propose: command =>
      new Promise((resolve, reject) => {
        if (command.kind !== 'put_bundle') return;
        proposed.push(command.bundle.version);
        held.push(err => {
          if (err) return reject(err);
          db.bundle = command.bundle;
          resolve(undefined);
        });
      }),
  });
  const end = async (err?: Error): Promise<void> => {
    held.shift()?.(err);
    await new Promise(resolve => setImmediate(resolve));
  };
  return {writer, proposed, end};
};

describe('bundles that are sent again and again', () => {
  it('a version that is in force is acknowledged without a record', async () => {
    const {writer, proposed} = makeWriter();
    expect(await writer.put(bundleOf(5))).to.equal('superseded');
    expect(await writer.put(bundleOf(3))).to.equal('superseded');
    expect(proposed).to.eql([]);
  });
  it('a bundle that is sent again while it is recorded is recorded once', async () => {
    const {writer, proposed, end} = makeWriter();
    const puts = [7, 7, 6, 7].map(version => writer.put(bundleOf(version)));
    await end();
    expect(await Promise.all(puts)).to.eql([
      'recorded',
      'shared',
      'shared',
      'shared',
    ]);
    expect(proposed).to.eql([7]);
  });
  it('versions in quick succession need two records, and the highest is in force', async () => {
    const {writer, proposed, end} = makeWriter();
    const versions = Array.from({length: 25}, (_, i) => 10 + i);
    const puts = versions.map(version => writer.put(bundleOf(version)));
    await end();
    await end();
    await Promise.all(puts);
    expect(proposed).to.eql([10, 34]);
    expect(await writer.put(bundleOf(34))).to.equal('superseded');
  });
  it('a record that fails fails its own callers, and not those after it', async () => {
    const {writer, proposed, end} = makeWriter();
    const first = writer.put(bundleOf(7)).catch((err: Error) => err.message);
    const same = writer.put(bundleOf(7)).catch((err: Error) => err.message);
    const later = writer.put(bundleOf(8));
    await end(new Error('not confirmed'));
    expect([await first, await same]).to.eql([
      'not confirmed',
      'not confirmed',
    ]);
    await end();
    expect(await later).to.equal('shared');
    expect(proposed).to.eql([7, 8]);
  });
});
