import { Err, Ok, type Result } from 'ts-results';
import { request, type Dispatcher } from 'undici';

import { type PlatformError } from './platformError';

/** Configuration as published by the configuration service. */
export interface PublishedConfiguration {
  /** Sheet text, not yet validated. */
  readonly text: string;
}

/** Options of `readConfiguration`. */
export interface ConfigurationRequest {
  readonly url: string;
  /** Waits for a version above this one; null reads the current version immediately. */
  readonly after: number | null;
  /** Longest time for which the service may hold a waiting request, in seconds. */
  readonly waitSeconds: number;
  readonly dispatcher: Dispatcher;
  readonly signal: AbortSignal;
}

const READ_TIMEOUT_MS = 5000;

/**
 * Reads the configuration (GET /configuration), or waits for a newer version by long polling.
 * Returns null when the wait ended without a newer version.
 */
export async function readConfiguration(
  options: ConfigurationRequest,
): Promise<Result<PublishedConfiguration | null, PlatformError>> {
  const query = options.after === null ? '' : `?after=${options.after}&wait=${options.waitSeconds}`;
  const timeoutMs = READ_TIMEOUT_MS + (options.after === null ? 0 : options.waitSeconds * 1000);
  try {
    const response = await request(`${options.url}/configuration${query}`, {
      dispatcher: options.dispatcher,
      signal: AbortSignal.any([options.signal, AbortSignal.timeout(timeoutMs)]),
    });
    const text = await response.body.text();
    if (response.statusCode === 304 || response.statusCode === 204) return Ok(null);
    if (response.statusCode === 200) return Ok({ text });
    return Err({ kind: 'bad-answer', detail: `status ${response.statusCode}` });
  } catch (error) {
    return Err({ kind: 'unreachable', detail: String(error) });
  }
}
