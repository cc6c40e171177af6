import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier/flat';

// Modules of src/, ordered from the lowest layer to the highest. A module imports only from modules
// before it in this list; docs/design.md explains the order.
const modules = [
  'runtime',
  'lifecycle',
  'logging',
  'metrics',
  'settings',
  'sheet',
  'published',
  'catalog',
  'transport',
  'source',
  'knowledge',
  'exchange',
  'freshness',
  'placement',
  'quota',
  'peer',
  'fleet',
  'outcomes',
  'routing',
  'idempotency',
  'suspects',
  'delivery',
  'probing',
  'forwarding',
  'warnings',
  'operators',
  'gateway',
  'balancer',
  'control',
];

const zones = modules.slice(0, -1).map((module, index) => ({
  target: `./src/${module}`,
  from: modules.slice(index + 1).map((higher) => `./src/${higher}`),
  message: `${module} may not import from a higher module (see docs/design.md, Modules).`,
}));

export default [
  {
    ignores: ['dist/', 'target/', 'journal/', 'node_modules/', 'coverage/', 'src/peer/generated/'],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // The task of a connection or peer is a sequential loop that awaits each step.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'import-x/prefer-default-export': 'off',
      'import-x/no-cycle': 'error',
      // Exports are named, one class per file; stateful objects are passed as constructor arguments.
      'max-classes-per-file': ['error', 1],
      'no-underscore-dangle': 'error',
      'class-methods-use-this': 'off',
      // Functions that apply a state change receive the mutable state object as a parameter.
      'no-param-reassign': ['error', { props: false }],
    },
  },
  {
    files: ['src/**/*.ts'],
    ignores: ['**/*.test.ts'],
    rules: {
      'import-x/no-restricted-paths': [
        'error',
        {
          zones: [
            ...zones,
            {
              target: './src',
              from: ['./standins', './demo', './measure', './soak', './test'],
              message: 'Product code never imports stand-ins or tools.',
            },
            {
              target: './src',
              from: './platform',
              message: 'The adapter imports the product, never the other way round.',
            },
          ],
        },
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Math', property: 'random', message: 'Use the seeded Random of runtime.' },
        { object: 'Date', property: 'now', message: 'Use the monotonic Clock of runtime.' },
      ],
    },
  },
  {
    files: [
      '**/*.test.ts',
      'test/**/*.ts',
      'standins/**/*.ts',
      'demo/**/*.ts',
      'measure/**/*.ts',
      'soak/**/*.ts',
      'scripts/**/*.ts',
      '*.js',
      '*.mjs',
      'bin/*.js',
    ],
    rules: {
      'no-console': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // Tests and tools read small files synchronously, before the event loop has other work.
      'n/no-sync': 'off',
    },
  },
  {
    files: ['*.js', 'bin/*.js', 'scripts/*.js'],
    rules: {
      'n/no-sync': 'off',
      'no-console': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      '@typescript-eslint/no-require-imports': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/extensions': 'off',
    },
  },
];
