import {expect} from 'chai';
import {taskKey, taskRefOf} from './refs.js';
import type {WorkflowId} from './types.js';

describe('keys of tasks', () => {
  for (const workflow of ['job', 'a.b', 'a.1.2.3', '', '.', 'a..b', 'ü 1'])
    it(`a task of workflow '${workflow}' is parsed back from its key`, () => {
      const task = {
        workflow: workflow as WorkflowId,
        occurrence: 17,
        step: 2,
        index: 305,
      };
      expect(taskRefOf(taskKey(task))).to.eql(task);
    });
});
