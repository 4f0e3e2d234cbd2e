/**
 * Bundles the daemon for the platform from the sources into a single file
 * under target/, so that a start loads one file and the build writes nowhere
 * else.
 */
import {readdirSync} from 'node:fs';
import {build} from 'esbuild';

const packages = readdirSync('packages');
const alias = Object.fromEntries(
  packages.map(name => [
    `@primrosewick/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
);

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/primrosewickd.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  alias,
  // Optional dependencies of bunyan, which works without them.
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  sourcemap: false,
  logLevel: 'warning',
});
