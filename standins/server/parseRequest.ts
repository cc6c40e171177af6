/** A request as a server stand-in received it. */
export interface ServerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  /** Names in lower case and values, one for each line. */
  readonly headerLines: readonly (readonly [name: string, value: string])[];
  readonly body: string;
}

/** Takes the first request from `buffered`; null while it is incomplete. */
export function parseRequest(buffered: Buffer): { request: ServerRequest; rest: Buffer } | null {
  const headEnd = buffered.indexOf('\r\n\r\n');
  if (headEnd < 0) return null;
  const [requestLine, ...headerLines] = buffered
    .subarray(0, headEnd)
    .toString('latin1')
    .split('\r\n');
  const [method, path] = requestLine!.split(' ');
  const pairs = headerLines.map((line) => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()] as const;
  });
  const headers = new Map<string, string>(pairs);
  const length = Number(headers.get('content-length') ?? 0);
  const bodyStart = headEnd + 4;
  if (buffered.length < bodyStart + length) return null;
  const body = buffered.subarray(bodyStart, bodyStart + length).toString('utf8');
  return {
    request: { method: method!, path: path!, headers, headerLines: pairs, body },
    rest: buffered.subarray(bodyStart + length),
  };
}
