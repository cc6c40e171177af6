import { type CatalogChanges, type Ledger } from '../catalog';
import { type EventSink } from '../logging';
import { type Clock, type Random } from '../runtime';

import { EXCHANGE_EVENTS } from './events';
import { type HostAddress } from './hostAddress';
import { type KnownHost } from './knownHost';
import { type Membership } from './membership';

// The same changes usually arrive by broadcast before this delay ends.
const PULL_DELAY_MS = 40;
// Hosts that learn of a large change at the same time pull it one after the other, so that the link
// of the first holder is not shared by all of them; the later ones find more holders.
const PULL_SPREAD_MS_PER_HOST = 8;

/** Dependencies and callbacks of `CatalogPuller`. */
export interface CatalogPullerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly ledger: Ledger;
  readonly membership: Membership;
  /** Zone of this host. */
  readonly zone: string;
  /** Reads the changes after a revision from another host; null when the request fails. */
  readonly pull: (host: HostAddress, after: number) => Promise<CatalogChanges | null>;
  /** Called after changes were pulled. */
  readonly onPulled: () => void;
}

/** Pulls the catalog from hosts that know newer revisions, until no live host is ahead. */
export class CatalogPuller {
  private isPulling = false;

  /** Monotonic time at which this host learned that another one is ahead. */
  private behindSince = 0;

  private isClosed = false;

  constructor(private readonly parts: CatalogPullerParts) {}

  /** Schedules a pull if another host is ahead; called when the state of a host was received. */
  check(): void {
    if (this.isPulling || this.isClosed || this.chooseHolder() === null) return;
    this.isPulling = true;
    const { clock, random, membership } = this.parts;
    this.behindSince = clock.now();
    const spreadMs = membership.neighbours().length * PULL_SPREAD_MS_PER_HOST;
    clock.setTimer(clock.now() + PULL_DELAY_MS + spreadMs * random.next(), () => {
      void this.pull();
    });
  }

  /** Schedules no further pulls. */
  close(): void {
    this.isClosed = true;
  }

  // A holder may fail, or be busy serving others; another one is tried then.
  private async pull(): Promise<void> {
    const { ledger } = this.parts;
    const holder = this.chooseHolder();
    if (holder !== null) {
      const changes = await this.parts.pull(holder, ledger.catalog().asOf);
      if (changes !== null) {
        this.logPulled(holder, changes, ledger.apply(changes).length);
        this.parts.onPulled();
      }
    }
    this.isPulling = false;
    this.check();
  }

  private logPulled(holder: KnownHost, changes: CatalogChanges, newerRecords: number): void {
    const { clock, events, ledger } = this.parts;
    events.emit(EXCHANGE_EVENTS.pulled, {
      peer: holder.id,
      asOf: changes.asOf,
      newest: ledger.newestRevision(),
      newerRecords,
      behindMs: Math.round(clock.now() - this.behindSince),
    });
  }

  /** A random live host that knows more than this one, of this zone if there is one. */
  private chooseHolder(): KnownHost | null {
    const { zone, random, ledger, membership } = this.parts;
    const { asOf } = ledger.catalog();
    const newest = ledger.newestRevision();
    const holders = membership.live().filter((host) => host.asOf > asOf || host.newest > newest);
    if (holders.length === 0) return null;
    const near = holders.filter((host) => host.zone === zone);
    const candidates = near.length > 0 ? near : holders;
    return candidates[random.integer(candidates.length)]!;
  }
}
