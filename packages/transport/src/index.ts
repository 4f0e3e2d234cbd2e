export * from './grpc/client.js';
export * from './grpc/server.js';
export * from './http/address.js';
export * from './http/client.js';
export * from './http/router.js';
export * from './http/server.js';
export * from './metrics/registry.js';
export * from './tasks/clock.js';
