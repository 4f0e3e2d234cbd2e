/**
 * Reads KNOWN-RED.txt, the list of tests that are known to fail. Each entry is
 * a block that begins with "test: TITLE"; CI skips exactly these titles.
 */
import {existsSync, readFileSync} from 'node:fs';

const FILE = 'KNOWN-RED.txt';

/** All lines of the file, for printing. */
export const knownRedLines = () =>
  existsSync(FILE) ? readFileSync(FILE, 'utf8').trimEnd().split('\n') : [];

/** Titles of the tests that are known to fail. */
export const knownRedTitles = () => {
  if (!existsSync(FILE)) return [];
  const lines = readFileSync(FILE, 'utf8').split('\n');
  return lines
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
};

const escapeRegExp = text => text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');

/** Mocha arguments that skip the tests known to fail. */
export const skipArguments = () => {
  const titles = knownRedTitles();
  if (titles.length === 0) return [];
  return ['--invert', '--grep', titles.map(escapeRegExp).join('|')];
};
