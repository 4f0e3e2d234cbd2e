/**
 * Bundles the daemon for the platform into one file under target/, from the
 * sources, so that a start loads one file and the build writes nowhere else.
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
  // Optional parts of bunyan, which it does without when they are absent.
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  sourcemap: false,
  logLevel: 'warning',
});
