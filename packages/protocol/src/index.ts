export * from './api/admin.js';
export * from './api/platform.js';
export * from './peer/codec.js';
export * from './peer/types.js';
export * from './settings/core.js';
export * from './settings/page.js';
export * from './settings/types.js';
export * from './api/description.js';
