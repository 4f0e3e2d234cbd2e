export * from './cluster/node.js';
