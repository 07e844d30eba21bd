import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

const noClockOrChance = [
  { name: 'Date', message: 'src/core takes time as an argument.' },
  { name: 'setTimeout', message: 'src/core returns effects; adapters own timers.' },
  { name: 'setInterval', message: 'src/core returns effects; adapters own timers.' },
  { name: 'setImmediate', message: 'src/core returns effects; adapters own timers.' },
  { name: 'performance', message: 'src/core takes time as an argument.' },
  { name: 'process', message: 'src/core knows no process.' },
  { name: 'Buffer', message: 'src/core handles values, not bytes.' },
];

// Imports point inward: adapters -> ports -> core -> model.
const inward = [
  { target: './src/model', from: './src', except: ['./model'] },
  { target: './src/core', from: './src', except: ['./core', './model'] },
  { target: './src/ports', from: './src', except: ['./ports', './core', './model'] },
  {
    target: './src/adapters',
    from: './src',
    except: ['./adapters', './ports', './core', './model'],
  },
  { target: './src/tasks', from: './src', except: ['./tasks', './ports', './core', './model'] },
  { target: './src', from: ['./standins', './test', './bench', './scripts', './platform'] },
  {
    target: './src/gateway',
    from: './src',
    except: ['./gateway', './adapters', './ports', './core', './model'],
  },
  { target: './platform', from: ['./standins', './test', './bench', './scripts'] },
];

export default tseslint.config(
  { ignores: ['dist', 'target', 'journal', 'node_modules'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    rules: {
      'import-x/no-restricted-paths': ['error', { zones: inward }],
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-cycle': 'error',
      // The users' list: exhaustive switches over unions and short names stand above the guide.
      'default-case': 'off',
      'consistent-return': 'off',
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      'no-underscore-dangle': 'off',
      'no-restricted-syntax': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      'max-classes-per-file': 'off',
      'no-bitwise': 'off',
      // `void promise` marks a promise that is left to run, as no-floating-promises asks.
      'no-void': ['error', { allowAsStatement: true }],
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: false }],
      '@typescript-eslint/consistent-type-definitions': 'off',
    },
  },
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', name: ['describe', 'it', 'test'], package: 'node:test' },
          ],
        },
      ],
    },
  },
  {
    files: ['**/*.mjs'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
  },
  {
    files: ['src/core/**/*.ts', 'src/model/**/*.ts'],
    rules: {
      'no-restricted-globals': ['error', ...noClockOrChance],
      'no-restricted-properties': [
        'error',
        { object: 'Math', property: 'random', message: 'src/core draws from a seeded generator.' },
      ],
      'no-restricted-imports': [
        'error',
        { patterns: [{ group: ['node:*', 'ws', 'p-queue'], message: 'src/core has no I/O.' }] },
      ],
    },
  },
  {
    files: [
      'standins/**',
      'test/**',
      'bench/**',
      'scripts/**',
      'src/main.ts',
      'src/cli/**',
      'eslint.config.mjs',
    ],
    rules: { 'no-console': 'off', 'import-x/no-default-export': 'off' },
  },
  prettier,
);
