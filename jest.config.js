module.exports = {
  testEnvironment: 'node',
  roots: ['<rootDir>/src', '<rootDir>/test', '<rootDir>/standins', '<rootDir>/measure'],
  testMatch: ['**/*.test.ts'],
  transform: {
    '^.+\\.ts$': ['@swc/jest', { jsc: { target: 'es2023', parser: { syntax: 'typescript' } } }],
  },
  testTimeout: 30000,
  maxWorkers: 4,
};
