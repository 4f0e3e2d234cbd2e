import gts from 'gts';

/** Layers from the bottom up; a package may import only from packages before it. */
const LAYERS = [
  'state',
  'protocol',
  'transport',
  'coordination',
  'daemon',
  'cli',
  'standins',
  'proofs',
];

/** Packages that a layer must not import, beyond the ones above it. */
const EXTRA_BANS = {
  cli: ['daemon', 'coordination'],
  standins: ['daemon', 'coordination', 'cli'],
  proofs: ['daemon', 'cli'],
};

/** No layer of the product knows the platform. */
const PLATFORM_BAN = {
  group: ['@primrosewick/platform', '@primrosewick/platform/*'],
  message: 'Nothing outside platform/ knows the platform.',
};

const layerRule = layer => {
  const above = LAYERS.slice(LAYERS.indexOf(layer) + 1);
  const banned = [...above, ...(EXTRA_BANS[layer] ?? [])];
  return {
    files: [`packages/${layer}/src/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            PLATFORM_BAN,
            ...banned.map(name => ({
              group: [`@primrosewick/${name}`, `@primrosewick/${name}/*`],
              message: `The layer "${layer}" must not import "${name}".`,
            })),
          ],
        },
      ],
    },
  };
};

/** The decision core reads no clock and draws no random number. */
const PURE_CORE = {
  files: ['packages/**/core.ts', 'packages/state/src/**/*.ts'],
  ignores: ['**/*.spec.ts', 'packages/state/src/storage/node_disk.ts'],
  rules: {
    'no-restricted-globals': [
      'error',
      'setTimeout',
      'setInterval',
      'performance',
      'Date',
      'process',
    ],
    'no-restricted-properties': [
      'error',
      {object: 'Math', property: 'random'},
      {object: 'Date', property: 'now'},
    ],
  },
};

export default [
  {ignores: ['**/dist/', '**/node_modules/', 'target/']},
  ...gts,
  ...LAYERS.map(layerRule),
  PURE_CORE,
  {
    files: ['**/*.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {console: 'readonly', URL: 'readonly'},
    },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: ['./packages/*/tsconfig.json', './platform/tsconfig.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE'],
          leadingUnderscore: 'forbid',
        },
        {selector: 'function', format: ['camelCase']},
        {selector: 'classMethod', format: ['camelCase']},
      ],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^unused'},
      ],
      'max-lines': ['error', {max: 400, skipBlankLines: true}],
      'no-restricted-exports': [
        'error',
        {restrictDefaultExports: {direct: true}},
      ],
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  {
    files: [
      'packages/daemon/src/main.ts',
      'platform/src/main.ts',
      'packages/cli/src/**/*.ts',
      'packages/standins/src/**/*.ts',
      'scripts/*.js',
    ],
    rules: {'n/no-process-exit': 'off', 'n/hashbang': 'off'},
  },
];
