/** Bundles, workflows, workers and planner inputs for specs of any package. */
export * from './bundle/fixtures.js';
export * from './workflow/admission/fixtures.js';
export * from './workflow/fixtures.js';
export * from './workflow/planner/fixtures.js';
