/**
 * Switches one mechanism off at a time, in the built files, and checks that
 * the proof named for it fails. `node scripts/mutants.js [NAME]`
 */
import {execFileSync} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';

const MUTANTS = JSON.parse(
  readFileSync(new URL('mutants.json', import.meta.url), 'utf8'),
);

const proofFails = ({spec, grep}) => {
  try {
    const args = ['mocha', '--spec', spec, '--grep', grep, '--bail'];
    execFileSync('npx', args, {stdio: 'pipe', timeout: 600_000});
    return undefined;
  } catch (err) {
    const output = String(err.stdout);
    const line = output.split('\n').find(text => /Error|expected/.test(text));
    return (line ?? 'failed').trim().slice(0, 160);
  }
};

/** Runs the proof with the mechanism off; @returns what it said, if it failed. */
const tryMutant = mutant => {
  const sound = readFileSync(mutant.file, 'utf8');
  const count = sound.split(mutant.search).length - 1;
  if (count !== 1) throw new Error(`${mutant.name}: found ${count} times`);
  writeFileSync(mutant.file, sound.replace(mutant.search, mutant.replace));
  try {
    return proofFails(mutant);
  } finally {
    writeFileSync(mutant.file, sound);
  }
};

const wanted = process.argv[2];
const chosen = MUTANTS.filter(({name}) => !wanted || name.includes(wanted));
let survivors = 0;
for (const mutant of chosen) {
  const said = tryMutant(mutant);
  if (said === undefined) survivors++;
  console.log(
    `${said === undefined ? 'SURVIVED' : 'caught  '} ${mutant.name}: ${said ?? ''}`,
  );
}
console.log(`${chosen.length - survivors} of ${chosen.length} mutants caught`);
process.exitCode = survivors === 0 ? 0 : 1;
