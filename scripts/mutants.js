/**
 * Mutation tests: disables one mechanism at a time in a copy of the built
 * files, and checks that the test assigned to it fails.
 * `node scripts/mutants.js [NAME]` runs only the mutants whose name contains NAME.
 */
import {execFile} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const WORKERS = 3;
const TIMEOUT_MS = 600_000;
const MUTANTS = JSON.parse(
  readFileSync(path.join(ROOT, 'scripts/mutants.json'), 'utf8'),
);

/**
 * Copies the packages of the workspace to a temporary folder; their
 * dependencies are linked.
 */
const copyTree = () => {
  const copy = mkdtempSync(path.join(tmpdir(), 'primrosewick-mutant-'));
  const modules = path.join(copy, 'node_modules');
  mkdirSync(modules);
  cpSync(path.join(ROOT, 'package.json'), path.join(copy, 'package.json'));
  cpSync(path.join(ROOT, 'packages'), path.join(copy, 'packages'), {
    recursive: true,
    filter: source => !source.endsWith('/src'),
  });
  for (const name of readdirSync(path.join(ROOT, 'node_modules'))) {
    if (name === '@primrosewick') continue;
    symlinkSync(
      path.join(ROOT, 'node_modules', name),
      path.join(modules, name),
    );
  }
  mkdirSync(path.join(modules, '@primrosewick'));
  for (const name of readdirSync(path.join(copy, 'packages'))) {
    const target = path.join('../../packages', name);
    symlinkSync(target, path.join(modules, '@primrosewick', name));
  }
  return copy;
};

/** Number of places that a mutant's search text matches; it must be exactly one. */
const countMatches = ({file, search}) =>
  readFileSync(path.join(ROOT, file), 'utf8').split(search).length - 1;

/** Runs the test of a mutant; resolves with its error line, or undefined if it passes. */
const findTestFailure = ({spec, grep}, cwd) =>
  new Promise(resolve => {
    const mocha = path.join(ROOT, 'node_modules/mocha/bin/mocha.js');
    const args = [mocha, '--no-config', '--timeout', String(TIMEOUT_MS)];
    args.push('--spec', spec, '--grep', grep, '--bail');
    execFile(process.execPath, args, {cwd, timeout: TIMEOUT_MS}, (err, out) => {
      if (!err) return resolve(undefined);
      const line = out.split('\n').find(text => /Error|expected/.test(text));
      return resolve((line ?? 'failed').trim().slice(0, 150));
    });
  });

/** Runs the test with the mutant applied, then restores the file. */
const tryMutant = async (mutant, copy) => {
  const file = path.join(copy, mutant.file);
  const original = readFileSync(file, 'utf8');
  writeFileSync(
    file,
    original.replace(mutant.search, () => mutant.replace),
  );
  const failure = await findTestFailure(mutant, copy);
  writeFileSync(file, original);
  return failure;
};

const nameFilter = process.argv[2] ?? '';
const chosen = MUTANTS.filter(({name}) => name.includes(nameFilter));
const notFound = chosen.filter(mutant => countMatches(mutant) !== 1);
for (const {name} of notFound) console.log(`NOT FOUND ONCE ${name}`);
const queue = chosen.filter(mutant => !notFound.includes(mutant));
let survivors = notFound.length;

const runWorker = async () => {
  const copy = copyTree();
  for (let next = queue.shift(); next; next = queue.shift()) {
    const failure = await tryMutant(next, copy);
    if (failure === undefined) survivors++;
    console.log(
      `${failure === undefined ? 'SURVIVED' : 'caught'} ${next.name}: ${failure ?? ''}`,
    );
  }
  rmSync(copy, {recursive: true, force: true});
};

await Promise.all(Array.from({length: WORKERS}, runWorker));
console.log(`${chosen.length - survivors} of ${chosen.length} mutants caught`);
process.exitCode = survivors === 0 ? 0 : 1;
