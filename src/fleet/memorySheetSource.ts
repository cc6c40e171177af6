import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';

import { Err, Ok, type Result } from 'ts-results';

import { type FetchSheetRequest, type PeerTransport, type SheetChunk } from '../peer';
import { parseSheet, type Sheet } from '../sheet';

import { type SheetSource, type SheetSourceError } from './sheetSource';

const compress = promisify(gzip);
const decompress = promisify(gunzip);

const CHUNK_BYTES = 16 * 1024;
const MAX_SHEETS = 8;

/** Keeps recent sheets in memory; serves and fetches whole sheets, never deltas. */
export class MemorySheetSource implements SheetSource {
  private readonly sheets = new Map<string, Sheet>();

  private readonly pendingFetches = new Map<string, Promise<Result<Sheet, SheetSourceError>>>();

  constructor(private readonly transport: PeerTransport) {
    transport.handleFetchSheet((request) => this.serve(request));
  }

  get(fingerprint: string): Sheet | null {
    return this.sheets.get(fingerprint) ?? null;
  }

  add(sheet: Sheet): void {
    this.sheets.delete(sheet.fingerprint);
    this.sheets.set(sheet.fingerprint, sheet);
    if (this.sheets.size > MAX_SHEETS) this.sheets.delete(this.sheets.keys().next().value!);
  }

  obtain(
    fingerprint: string,
    fromHosts: readonly string[],
  ): Promise<Result<Sheet, SheetSourceError>> {
    const known = this.get(fingerprint);
    if (known !== null) return Promise.resolve(Ok(known));
    let fetching = this.pendingFetches.get(fingerprint);
    if (fetching === undefined) {
      fetching = this.fetchFromAny(fingerprint, fromHosts).finally(() => {
        this.pendingFetches.delete(fingerprint);
      });
      this.pendingFetches.set(fingerprint, fetching);
    }
    return fetching;
  }

  private async fetchFromAny(
    fingerprint: string,
    fromHosts: readonly string[],
  ): Promise<Result<Sheet, SheetSourceError>> {
    let error: SheetSourceError = { kind: 'not-found', detail: 'no host holds the sheet' };
    for (const hostId of fromHosts) {
      const fetched = await this.fetchFrom(hostId, fingerprint);
      if (fetched.ok) return fetched;
      error = fetched.val;
    }
    return Err(error);
  }

  private async fetchFrom(
    hostId: string,
    fingerprint: string,
  ): Promise<Result<Sheet, SheetSourceError>> {
    const chunks = await this.transport.fetchSheet(hostId, {
      wantedFingerprint: fingerprint,
      baseFingerprint: '',
    });
    if (chunks.err) return Err({ kind: 'unreachable', detail: chunks.val.detail });
    if (chunks.val.length === 0) return Err({ kind: 'not-found', detail: `not at ${hostId}` });
    const data = Buffer.concat(chunks.val.map((chunk) => chunk.data));
    const sheet = parseSheet((await decompress(data)).toString());
    if (sheet.err || sheet.val.fingerprint !== fingerprint) {
      return Err({
        kind: 'invalid',
        detail: `${hostId} sent an invalid sheet or one with another fingerprint`,
      });
    }
    this.add(sheet.val);
    return Ok(sheet.val);
  }

  private async *serve(request: FetchSheetRequest): AsyncIterable<SheetChunk> {
    const sheet = this.get(request.wantedFingerprint);
    if (sheet === null) return;
    const data = await compress(sheet.text);
    for (let start = 0; start < data.length; start += CHUNK_BYTES) {
      yield { delta: false, data: data.subarray(start, start + CHUNK_BYTES) };
    }
  }
}
