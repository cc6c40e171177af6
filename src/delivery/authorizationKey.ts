const AUTHORIZATION_HEADER = 'authorization';

const MAX_VALUE_BYTES = 4096;

// RFC 6750, section 2.1: the scheme in any case, one space, a token68.
const BEARER_PATTERN = /^bearer (?<key>[\w\-.~+/]+=*)$/i;

/** Whether a header, by its name in lower case, may carry a caller's key. */
export function isAuthorizationHeader(name: string): boolean {
  return name === AUTHORIZATION_HEADER;
}

/**
 * The caller's key from headers as alternating names and values; null unless there is exactly one
 * `Authorization: Bearer KEY`.
 */
export function authorizationKey(rawHeaders: readonly string[]): string | null {
  const values = rawHeaders.filter(
    (_, index) => index % 2 === 1 && isAuthorizationHeader(rawHeaders[index - 1]!.toLowerCase()),
  );
  const [value] = values;
  if (value === undefined || values.length > 1 || value.length > MAX_VALUE_BYTES) return null;
  return BEARER_PATTERN.exec(value)?.groups?.key ?? null;
}
