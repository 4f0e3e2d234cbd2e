export * from './cell/cell.js';
export * from './upstream/core.js';
export * from './worker/core.js';
