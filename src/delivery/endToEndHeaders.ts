import { type CallProtocol } from './callProtocol';

const HOP_BY_HOP = new Set([
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

function namedByConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
  const named = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() !== 'connection') continue;
    for (const name of rawHeaders[index + 1]!.split(',')) named.add(name.trim().toLowerCase());
  }
  return named;
}

/** Headers that a request keeps when it is forwarded, names and values by turns (RFC 9110, 7.6.1). */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  protocol: CallProtocol,
): readonly string[] {
  const named = namedByConnection(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    const isOwn = name === protocol.timeLeftHeader || name === protocol.expectedTargetHeader;
    const isFraming = name === 'content-length';
    if (isOwn || isFraming || HOP_BY_HOP.has(name)) continue;
    if (named.has(name) && name !== 'host') continue;
    kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
  }
  return kept;
}
