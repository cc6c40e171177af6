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

/** Headers of a forwarded request as alternating names and values (RFC 9110, section 7.6.1). */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  protocol: CallProtocol,
): readonly string[] {
  const named = connectionOptions(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const isProtocolHeader =
      name === protocol.timeoutHeader || name === protocol.expectedTargetHeader;
    const isFraming = name === 'content-length';
    if (isProtocolHeader || isFraming || HOP_BY_HOP_HEADERS.has(name)) continue;
    if (named.has(name) && name !== 'host') continue;
    kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return kept;
}
