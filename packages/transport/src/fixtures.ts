/** Test doubles for connections between VMs; not part of the product. */
export * from './link/silent_proxy.js';
