import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier/flat';

// Modules of src/, from the lowest to the highest. A module imports only from lower ones;
// docs/design.md explains the order.
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
  'placement',
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
      // Loops with await are how a task for each connection or peer is written straight down.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'import-x/prefer-default-export': 'off',
      'import-x/no-cycle': 'error',
      // Each export carries its own name; constructors of state-holding classes come by argument.
      'max-classes-per-file': ['error', 1],
      'no-underscore-dangle': 'error',
      'class-methods-use-this': 'off',
      // Mutable state objects are passed to the functions that own a change.
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
      // Tests and tools read small files before anything runs that could wait for them.
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
