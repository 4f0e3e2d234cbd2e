/** Test doubles for connections to other processes; not part of the product. */
export * from './http/fixtures.js';
export * from './link/silent_proxy.js';
