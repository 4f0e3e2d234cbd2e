/**
 * Generates the reference pages from the schemas. `--check` only compares, and
 * exits with 1 when a page is stale.
 */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {
  openApiDocument,
  reasonsPage,
  settingsPage,
} from '../packages/protocol/dist/index.js';

const PAGES = {
  'docs/reference/settings.md': settingsPage(),
  'docs/reference/reasons.md': reasonsPage(),
  'docs/reference/openapi.json':
    JSON.stringify(openApiDocument(), null, 2) + '\n',
};

const readPage = file => {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    return '';
  }
};

const isCheck = process.argv.includes('--check');
mkdirSync('docs/reference', {recursive: true});
for (const [file, text] of Object.entries(PAGES)) {
  const isStale = readPage(file) !== text;
  if (isStale && isCheck) process.exitCode = 1;
  if (isStale && !isCheck) writeFileSync(file, text);
  if (isStale)
    console.log(`${file}: ${isCheck ? 'stale, run npm run docs' : 'written'}`);
}
