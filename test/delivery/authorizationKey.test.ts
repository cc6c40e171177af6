import { authorizationKey } from '../../src/delivery/authorizationKey';

const VALID: Readonly<Record<string, string>> = {
  'Bearer abc': 'abc',
  'bearer abc': 'abc',
  'BEARER a-b._~+/Z09==': 'a-b._~+/Z09==',
  [`Bearer ${'k'.repeat(4089)}`]: 'k'.repeat(4089),
};

const INVALID: readonly string[] = [
  '',
  'Bearer',
  'Bearer ',
  'Bearer  abc',
  ' Bearer abc',
  'Bearer abc ',
  'Bearer\tabc',
  'Bearer abc def',
  'Bearer abc,',
  'Bearer abc, Bearer abc',
  'Bearer ab=c',
  'Bearer ==',
  'Bearer "abc"',
  'Bearer ab\u00e9',
  'Bearer abc\n',
  'Bearer:abc',
  'Bearerabc',
  'Basic abc',
  'abc',
  `Bearer ${'k'.repeat(4090)}`,
];

describe('the key in the headers of a call', () => {
  // Guards against valid keys that are rejected.
  it.each(Object.entries(VALID))('is read from %j', (value, key) => {
    expect(authorizationKey(['Host', 'h', 'AUTHORIZATION', value])).toBe(key);
  });

  // Guards against two readings of one header, of which a target or another proxy takes the other.
  it.each(INVALID)('is not read from %j', (value) => {
    expect(authorizationKey(['Authorization', value])).toBeNull();
  });

  // Guards against calls that are let in by one of two keys, and against a value taken for a name.
  it('is not read from a header that is absent or repeated', () => {
    expect(authorizationKey([])).toBeNull();
    expect(authorizationKey(['X', 'Authorization', 'Bearer abc', 'Y'])).toBeNull();
    const twice = ['Authorization', 'Bearer abc', 'authorization', 'Bearer abc'];
    expect(authorizationKey(twice)).toBeNull();
  });
});
