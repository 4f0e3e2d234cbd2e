/**
 * Runs all tests. With CI=true, the tests listed in KNOWN-RED.txt are printed
 * and skipped; otherwise they run like the others.
 */
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {knownRedLines, skipArguments} from './known_red.js';

const isCi = process.env['CI'] === 'true';
if (isCi) for (const line of knownRedLines()) console.log(`known red: ${line}`);
const args = [
  'node_modules/mocha/bin/mocha.js',
  ...(isCi ? skipArguments() : []),
];
const {status} = spawnSync(process.execPath, args, {stdio: 'inherit'});
process.exitCode = status ?? 1;
