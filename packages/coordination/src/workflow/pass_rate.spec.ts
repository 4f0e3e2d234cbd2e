import {expect} from 'chai';
import {PassRate} from './pass_rate.js';

describe('rate of passes over all steps', () => {
  it('an idle leader places all steps in each pass', () => {
    const rate = new PassRate(() => false);
    expect([0, 10, 20].map(now => rate.mayDefer(now))).to.eql([
      false,
      false,
      false,
    ]);
  });
  it('a busy leader places all steps once in 2 s, however long it is busy', () => {
    const rate = new PassRate(() => true);
    const times = Array.from({length: 100}, (_, i) => i * 100);
    const full = times.filter(now => !rate.mayDefer(now));
    expect(full).to.eql([0, 2000, 4000, 6000, 8000]);
  });
});
