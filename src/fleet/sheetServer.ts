import { type MetricsSink } from '../metrics';
import { type FetchSheetRequest, type SheetChunk } from '../peer';
import { type Clock } from '../runtime';
import { diffSheets, type Sheet } from '../sheet';

import { CONFIGURATION_METRICS } from './configurationMetrics';
import { type RecentSheets } from './recentSheets';
import { SendRateLimiter } from './sendingRate';
import { encodeDelta, encodeSheet } from './sheetEncoding';

const CHUNK_BYTES = 16 * 1024;

// After a change all hosts request the same delta, so it is encoded once and cached.
const MAX_CACHED_PAYLOADS = 4;

interface Payload {
  readonly delta: boolean;
  readonly data: Buffer;
}

async function encodePayload(wanted: Sheet, base: Sheet | null): Promise<Payload> {
  const whole = await encodeSheet(wanted);
  if (base === null) return { delta: false, data: whole };
  const delta = await encodeDelta(diffSheets(base, wanted));
  return delta.length < whole.length ? { delta: true, data: delta } : { delta: false, data: whole };
}

/** Sends sheets to other hosts: a delta if the base is cached and it is shorter, else whole. */
export class SheetServer {
  private readonly payloads = new Map<string, Promise<Payload>>();

  private readonly rateLimiter: SendRateLimiter;

  constructor(
    private readonly sheets: RecentSheets,
    clock: Clock,
    private readonly metrics: MetricsSink,
  ) {
    this.rateLimiter = new SendRateLimiter(clock);
  }

  /** Answers FetchSheet; empty when the sheet is not cached or equals the base. */
  async *serve({
    wantedFingerprint,
    baseFingerprint,
  }: FetchSheetRequest): AsyncGenerator<SheetChunk> {
    const wanted = this.sheets.get(wantedFingerprint);
    if (wanted === null || wantedFingerprint === baseFingerprint) return;
    const { delta, data } = await this.payload(wanted, this.sheets.get(baseFingerprint));
    for (let start = 0; start < data.length; start += CHUNK_BYTES) {
      const chunk = data.subarray(start, start + CHUNK_BYTES);
      await this.rateLimiter.acquire(chunk.length);
      this.metrics.increment(CONFIGURATION_METRICS.sheetBytesSent, chunk.length);
      yield { delta, data: chunk };
    }
  }

  private payload(wanted: Sheet, base: Sheet | null): Promise<Payload> {
    const key = `${base?.fingerprint ?? ''}>${wanted.fingerprint}`;
    const cached = this.payloads.get(key);
    if (cached !== undefined) return cached;
    const encoded = encodePayload(wanted, base);
    this.payloads.set(key, encoded);
    if (this.payloads.size > MAX_CACHED_PAYLOADS) {
      this.payloads.delete(this.payloads.keys().next().value!);
    }
    return encoded;
  }
}
