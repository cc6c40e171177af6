import { Err, Ok, type Result } from 'ts-results';

import { type EventLog } from '../logging';
import { type PeerTransport } from '../peer';
import { type Random } from '../runtime';
import { type Sheet } from '../sheet';

import { CONFIGURATION_EVENTS } from './configurationEvents';
import { type RecentSheets } from './recentSheets';
import { decodeSheet } from './sheetEncoding';
import { type SheetSourceError } from './sheetSource';

type Fetched = Result<Sheet, SheetSourceError>;

function shuffled(hosts: readonly string[], random: Random): readonly string[] {
  const rest = [...hosts];
  const order: string[] = [];
  while (rest.length > 0) order.push(...rest.splice(random.integer(rest.length), 1));
  return order;
}

/** Fetches sheets from other hosts, as a delta to the newest local sheet where possible. */
export class SheetFetcher {
  private readonly pendingFetches = new Map<string, Promise<Fetched>>();

  constructor(
    private readonly sheets: RecentSheets,
    private readonly transport: Pick<PeerTransport, 'fetchSheet'>,
    private readonly random: Random,
    private readonly events: EventLog,
  ) {}

  /** Tries `hosts` in random order; concurrent requests for the same sheet share one fetch. */
  fetch(fingerprint: string, hosts: readonly string[]): Promise<Fetched> {
    const pending = this.pendingFetches.get(fingerprint);
    if (pending !== undefined) return pending;
    const fetching = this.fetchFromAny(fingerprint, hosts).finally(() => {
      this.pendingFetches.delete(fingerprint);
    });
    this.pendingFetches.set(fingerprint, fetching);
    return fetching;
  }

  private async fetchFromAny(fingerprint: string, hosts: readonly string[]): Promise<Fetched> {
    let error: SheetSourceError = { kind: 'not-found', detail: 'no host holds the sheet' };
    for (const hostId of shuffled(hosts, this.random)) {
      const fetched = await this.fetchFrom(hostId, fingerprint);
      if (fetched.ok) return fetched;
      error = fetched.val;
    }
    return Err(error);
  }

  private async fetchFrom(hostId: string, fingerprint: string): Promise<Fetched> {
    const base = this.sheets.newest();
    const fetched = await this.fetchOnce(hostId, fingerprint, base);
    if (base === null || fetched.ok || fetched.val.kind !== 'invalid') return fetched;
    this.events.emit(CONFIGURATION_EVENTS.deltaUnusable, { ...fetched.val, from: hostId });
    return this.fetchOnce(hostId, fingerprint, null);
  }

  private async fetchOnce(
    hostId: string,
    wantedFingerprint: string,
    base: Sheet | null,
  ): Promise<Fetched> {
    const baseFingerprint = base?.fingerprint ?? '';
    const chunks = await this.transport.fetchSheet(hostId, { wantedFingerprint, baseFingerprint });
    if (chunks.err) return Err({ kind: 'unreachable', detail: `${hostId}: ${chunks.val.detail}` });
    const first = chunks.val[0];
    if (first === undefined) return Err({ kind: 'not-found', detail: `not at ${hostId}` });
    const data = Buffer.concat(chunks.val.map((chunk) => chunk.data));
    const sheet = await decodeSheet(data, first.delta ? base : null, wantedFingerprint);
    if (sheet.err) return Err({ kind: 'invalid', detail: `data from ${hostId} ${sheet.val}` });
    return Ok(sheet.val);
  }
}
