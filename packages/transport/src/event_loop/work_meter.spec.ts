import {expect} from 'chai';
import {WorkMeter, diffWorkTimes} from './work_meter.js';

const makeMeter = () => {
  const time = {now: 0};
  const meter = new WorkMeter(() => time.now);
  const spend = (ms: number) => void (time.now += ms);
  return {meter, spend};
};

describe('WorkMeter', () => {
  it('does not count nested work in the enclosing kind', () => {
    const {meter, spend} = makeMeter();
    meter.measure('consensus', () => {
      spend(5);
      meter.measure('record', () => {
        spend(20);
        meter.measure('line', () => spend(3));
      });
      meter.measure('frame', () => spend(2));
    });
    expect(meter.times).to.eql({consensus: 5, record: 20, line: 3, frame: 2});
  });
  it('counts work that throws and rethrows its error', () => {
    const {meter, spend} = makeMeter();
    const fail = () =>
      meter.measure('pass', () => {
        spend(7);
        throw new Error('a defect');
      });
    expect(fail).to.throw('a defect');
    meter.measure('pass', () => spend(1));
    expect(meter.times).to.eql({pass: 8});
  });
  it('diffWorkTimes omits kinds without time between two readings', () => {
    const before = {pass: 100, gc: 30};
    const after = {pass: 100, gc: 30.2, line: 12.4};
    expect(diffWorkTimes(before, after)).to.eql({line: 12});
  });
});
