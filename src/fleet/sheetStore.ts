import { Ok, type Result } from 'ts-results';

import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { type PeerTransport } from '../peer';
import { type Clock, type Random } from '../runtime';
import { type Sheet } from '../sheet';

import { RecentSheets } from './recentSheets';
import { SheetFetcher } from './sheetFetcher';
import { SheetServer } from './sheetServer';
import { type SheetSource, type SheetSourceError } from './sheetSource';

/** Dependencies of a sheet store. */
export interface SheetStoreParts {
  readonly transport: Pick<PeerTransport, 'fetchSheet' | 'handleFetchSheet'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly metrics: MetricsSink;
}

/** Caches recent sheets, serves them to other hosts and fetches missing ones. */
export class SheetStore implements SheetSource {
  private readonly sheets = new RecentSheets();

  private readonly fetcher: SheetFetcher;

  constructor({ transport, clock, random, events, metrics }: SheetStoreParts) {
    this.fetcher = new SheetFetcher(this.sheets, transport, random, events);
    const server = new SheetServer(this.sheets, clock, metrics);
    transport.handleFetchSheet((request) => server.serve(request));
  }

  get(fingerprint: string): Sheet | null {
    return this.sheets.get(fingerprint);
  }

  add(sheet: Sheet): void {
    this.sheets.add(sheet);
  }

  async obtain(
    fingerprint: string,
    fromHosts: readonly string[],
  ): Promise<Result<Sheet, SheetSourceError>> {
    const known = this.get(fingerprint);
    if (known !== null) return Ok(known);
    const fetched = await this.fetcher.fetch(fingerprint, fromHosts);
    if (fetched.ok) this.add(fetched.val);
    return fetched;
  }
}
