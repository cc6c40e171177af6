import { Err, Ok, type Result } from 'ts-results';
import { request, type Dispatcher } from 'undici';
import * as z from 'zod';

import { type PlatformError } from './platformError';

const hostListSchema = z.object({
  hosts: z.array(z.object({ id: z.string(), state: z.enum(['live', 'leaving']) })),
});

/** The platform's list of live and leaving machines; it may be out of date. */
export interface HostList {
  /** State by id of a target or host; removed machines are not listed. */
  readonly states: ReadonlyMap<string, 'live' | 'leaving'>;
  /** Value for the next If-None-Match header. */
  readonly entityTag: string;
}

const READ_TIMEOUT_MS = 2000;

/** Reads the host list (GET /hosts); returns null when it is unchanged since `entityTag`. */
export async function readHostList(
  url: string,
  entityTag: string,
  dispatcher: Dispatcher,
  signal: AbortSignal,
): Promise<Result<HostList | null, PlatformError>> {
  try {
    const response = await request(`${url}/hosts`, {
      dispatcher,
      headers: entityTag === '' ? {} : { 'if-none-match': entityTag },
      signal: AbortSignal.any([signal, AbortSignal.timeout(READ_TIMEOUT_MS)]),
    });
    const text = await response.body.text();
    if (response.statusCode === 304) return Ok(null);
    if (response.statusCode !== 200) {
      return Err({ kind: 'bad-answer', detail: `status ${response.statusCode}` });
    }
    const parsed = hostListSchema.safeParse(JSON.parse(text));
    if (!parsed.success) return Err({ kind: 'bad-answer', detail: parsed.error.message });
    const states = new Map(parsed.data.hosts.map(({ id, state }) => [id, state]));
    const tag = response.headers.etag;
    return Ok({ states, entityTag: typeof tag === 'string' ? tag : '' });
  } catch (error) {
    if (error instanceof SyntaxError) return Err({ kind: 'bad-answer', detail: error.message });
    return Err({ kind: 'unreachable', detail: String(error) });
  }
}
