export * from './cell/cell.js';
export * from './proxy/tcp_proxy.js';
export * from './upstream/core.js';
export * from './worker/core.js';
