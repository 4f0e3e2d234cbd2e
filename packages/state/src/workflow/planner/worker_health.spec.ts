import {expect} from 'chai';
import type {WorkerId} from '../../ids/types.js';
import type {WorkflowId} from '../types.js';
import {WorkerHealth} from './worker_health.js';

const W = 'w' as WorkerId;
const flow = (i: number): WorkflowId => `f${i}` as WorkflowId;

describe('worker health', () => {
  it('a worker that fails all its runs is set aside for a while', () => {
    const health = new WorkerHealth();
    expect(health.record(W, flow(1), 'failed', 0)).to.equal(false);
    expect(health.record(W, flow(2), 'failed', 2000)).to.equal(false);
    expect(health.record(W, flow(3), 'failed', 4000)).to.equal(true);
    expect(health.isSetAside(W, 5000)).to.equal(true);
    expect(health.isSetAside(W, 8000)).to.equal(false);
  });
  it('a worker that fails two workflows at once is set aside at once', () => {
    const health = new WorkerHealth();
    expect(health.record(W, flow(1), 'failed', 0)).to.equal(false);
    expect(health.record(W, flow(2), 'failed', 10)).to.equal(true);
  });
  it('workflows that have failed elsewhere do not set a worker aside at once', () => {
    const health = new WorkerHealth();
    expect(health.record(W, flow(1), 'failed_again', 0)).to.equal(false);
    expect(health.record(W, flow(2), 'failed_again', 10)).to.equal(false);
  });
  it('a worker that finishes a run between two failures is not set aside at once', () => {
    const health = new WorkerHealth();
    health.record(W, flow(1), 'failed', 0);
    health.record(W, flow(2), 'done', 5);
    expect(health.record(W, flow(3), 'failed', 10)).to.equal(false);
  });
  it('failures of a single workflow do not set a worker aside', () => {
    const health = new WorkerHealth();
    for (let i = 0; i < 9; i++) health.record(W, flow(1), 'failed', i);
    expect(health.isSetAside(W, 10)).to.equal(false);
  });
  it('a few failures among many ends do not set a worker aside', () => {
    const health = new WorkerHealth();
    for (let i = 0; i < 9; i++) health.record(W, flow(i), 'done', i);
    for (let i = 0; i < 4; i++) health.record(W, flow(i), 'failed', i);
    expect(health.isSetAside(W, 10)).to.equal(false);
  });
  it('a worker that refuses a run is set aside at once', () => {
    const health = new WorkerHealth();
    expect(health.record(W, flow(1), 'refused', 0)).to.equal(true);
  });
  it('at most a third of the workers is set aside', () => {
    const health = new WorkerHealth();
    const workers = Array.from({length: 9}, (_, i) => `w${i}` as WorkerId);
    for (const worker of workers) health.record(worker, flow(1), 'refused', 0);
    expect(health.findSetAside(workers, 1).size).to.equal(3);
  });
});
