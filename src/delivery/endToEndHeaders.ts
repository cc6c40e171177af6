import { isAuthorizationHeader } from './authorizationKey';
import { type CallerIdentity } from './callerIdentity';
import { type CallProtocol } from './callProtocol';

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

function connectionOptions(rawHeaders: readonly string[]): ReadonlySet<string> {
  const named = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== 'connection') continue;
    for (const name of rawHeaders[index + 1]!.split(',')) named.add(name.trim().toLowerCase());
  }
  return named;
}

// Many servers take `_` and `-` in the names of headers for the same.
function isIdentityHeader(name: string, { tenantHeader }: CallProtocol): boolean {
  return isAuthorizationHeader(name) || name.replaceAll('_', '-') === tenantHeader;
}

// Header values are bytes; a tenant's name is sent in UTF-8, without the control characters that no value
// may have.
function headerText(name: string): string {
  // eslint-disable-next-line no-control-regex
  return Buffer.from(name.replaceAll(/[\x00-\x1f\x7f]/g, '?'), 'utf8').toString('latin1');
}

/**
 * Headers of a forwarded request as alternating names and values (RFC 9110, section 7.6.1). Where there
 * are tenants, the caller's key and what it says of its tenant are replaced by the tenant's name.
 */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  protocol: CallProtocol,
  identity: CallerIdentity,
): readonly string[] {
  const named = connectionOptions(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const isProtocolHeader =
      name === protocol.timeoutHeader || name === protocol.expectedTargetHeader;
    const isFraming = name === 'content-length';
    if (isProtocolHeader || isFraming || HOP_BY_HOP_HEADERS.has(name)) continue;
    if (identity !== null && isIdentityHeader(name, protocol)) continue;
    if (named.has(name) && name !== 'host') continue;
    kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  if (identity !== null && identity.tenant !== null)
    kept.push(protocol.tenantHeader, headerText(identity.tenant.name));
  return kept;
}
