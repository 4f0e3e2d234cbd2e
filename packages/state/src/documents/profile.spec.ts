import {expect} from 'chai';
import {classOfPath, profileSchema} from './profile.js';

const profile = profileSchema.parse({
  name: 'desk',
  placing: {kind: 'pack'},
  waiting: {
    classes: [
      {
        name: 'all',
        pathPrefix: '/',
        priority: 1,
        deadlineMs: 5000,
        queueBound: 9,
      },
      {
        name: 'tiny',
        pathPrefix: '/tiny',
        priority: 5,
        deadlineMs: 500,
        queueBound: 9,
      },
    ],
    spill: {kind: 'never'},
  },
  stopping: {graceMs: 0, checkpoint: false, repeat: {kind: 'at_most_once'}},
});

describe('profile', () => {
  it('the longest prefix decides the class', () => {
    expect(classOfPath(profile, '/tiny/7')?.name).to.equal('tiny');
    expect(classOfPath(profile, '/other')?.name).to.equal('all');
  });
  it('refuses an unknown key', () => {
    expect(
      profileSchema.safeParse({...profile, color: 'red'}).success,
    ).to.equal(false);
  });
  it('refuses two classes with one name', () => {
    const classes = [profile.waiting.classes[0], profile.waiting.classes[0]];
    const twice = {...profile, waiting: {...profile.waiting, classes}};
    expect(profileSchema.safeParse(twice).success).to.equal(false);
  });
  it('refuses a negative deadline', () => {
    const cls = {...profile.waiting.classes[0], deadlineMs: -1};
    const bad = {...profile, waiting: {...profile.waiting, classes: [cls]}};
    expect(profileSchema.safeParse(bad).success).to.equal(false);
  });
});
