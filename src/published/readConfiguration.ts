import { Err, Ok, type Result } from 'ts-results';
import { request, type Dispatcher } from 'undici';

import { type PlatformError } from './platformError';

/** What the configuration service publishes. */
export interface PublishedConfiguration {
  /** Sheet text as published; not yet validated. */
  readonly text: string;
}

/** How to read the configuration service. */
export interface ConfigurationRequest {
  readonly url: string;
  /** Wait for a version above this one; null reads at once. */
  readonly after: number | null;
  /** Longest time for which the service may hold a watch, in seconds. */
  readonly waitSeconds: number;
  readonly dispatcher: Dispatcher;
  readonly signal: AbortSignal;
}

const READ_LIMIT_MS = 5000;

/**
 * Reads or watches the configuration service (GET /configuration).
 * Returns null when a watch ended without a newer version.
 */
export async function readConfiguration(
  read: ConfigurationRequest,
): Promise<Result<PublishedConfiguration | null, PlatformError>> {
  const query = read.after === null ? '' : `?after=${read.after}&wait=${read.waitSeconds}`;
  const limit = READ_LIMIT_MS + (read.after === null ? 0 : read.waitSeconds * 1000);
  try {
    const response = await request(`${read.url}/configuration${query}`, {
      dispatcher: read.dispatcher,
      signal: AbortSignal.any([read.signal, AbortSignal.timeout(limit)]),
    });
    const text = await response.body.text();
    if (response.statusCode === 304 || response.statusCode === 204) return Ok(null);
    if (response.statusCode === 200) return Ok({ text });
    return Err({ kind: 'bad-answer', detail: `status ${response.statusCode}` });
  } catch (error) {
    return Err({ kind: 'unreachable', detail: String(error) });
  }
}
