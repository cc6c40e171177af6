import { type CatalogChanges, type Ledger } from '../catalog';
import { type Supervisor } from '../lifecycle';
import { type EventSink } from '../logging';
import { type Clock, type Random, waitUntil } from '../runtime';

import { EXCHANGE_EVENTS } from './events';
import { type HostAddress } from './hostAddress';
import { type KnownHost } from './knownHost';
import { type Membership } from './membership';

// The same changes usually arrive by broadcast before this delay ends.
const PULL_DELAY_MS = 40;
// Hosts that learn of a large change at the same time pull it one after the other, so that the link
// of the first holder is not shared by all of them; the later ones find more holders.
const PULL_SPREAD_MS_PER_HOST = 8;
const MAX_PULL_SPREAD_MS = 200;
// A holder that has not replied by then may be busy or unreachable; another one is asked as well.
const NEXT_HOLDER_DELAY_MS = 100;
const MAX_PARALLEL_PULLS = 6;

/** Dependencies and callbacks of `CatalogPuller`. */
export interface CatalogPullerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly tasks: Supervisor;
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

function describeState({ asOf, newest, fingerprint }: KnownHost): string {
  return `${asOf} ${newest} ${fingerprint}`;
}

/** Pulls catalog records that other hosts hold and this one lacks, until there are none. */
export class CatalogPuller {
  private isCatchingUp = false;

  /** Monotonic time at which this host learned that it lacks records. */
  private behindSince = 0;

  /** Pulls without a reply, by the id of the holder. */
  private readonly pulls = new Map<string, Promise<void>>();

  /** State of each host when its records were last pulled. */
  private readonly pulledStates = new Map<string, string>();

  private isClosed = false;

  constructor(private readonly parts: CatalogPullerParts) {}

  /** Starts to catch up if another host is ahead; called when the state of a host was received. */
  check(): void {
    if (this.isCatchingUp || this.isClosed) return;
    const holder = this.chooseHolder();
    if (holder === null) return;
    this.isCatchingUp = true;
    this.behindSince = this.parts.clock.now();
    void this.parts.tasks.run('catching up', () => this.catchUp(holder));
  }

  /** Starts no further pulls. */
  close(): void {
    this.isClosed = true;
  }

  private async catchUp(first: KnownHost): Promise<void> {
    const { clock, membership } = this.parts;
    await waitUntil(clock, clock.now() + this.firstPullDelay(first));
    while (!this.isClosed) {
      const holder = this.pulls.size < MAX_PARALLEL_PULLS ? this.chooseHolder() : null;
      if (holder !== null) this.startPull(holder);
      else if (this.pulls.size === 0) break;
      const nextHolder = waitUntil(clock, clock.now() + NEXT_HOLDER_DELAY_MS);
      await Promise.race([nextHolder, ...this.pulls.values()]);
    }
    const live = new Set(membership.live().map((host) => host.id));
    for (const id of this.pulledStates.keys()) if (!live.has(id)) this.pulledStates.delete(id);
    this.isCatchingUp = false;
  }

  // A change that is known in another zone only was told to few hosts of this zone.
  private firstPullDelay(holder: KnownHost): number {
    if (holder.zone !== this.parts.zone) return PULL_DELAY_MS;
    const { membership, random } = this.parts;
    const spreadMs = membership.neighbours().length * PULL_SPREAD_MS_PER_HOST;
    return PULL_DELAY_MS + Math.min(spreadMs, MAX_PULL_SPREAD_MS) * random.next();
  }

  private startPull(holder: KnownHost): void {
    const ended = this.pull(holder)
      .catch((error: unknown) => this.logFailure(holder, error))
      .finally(() => this.pulls.delete(holder.id));
    this.pulls.set(holder.id, ended);
  }

  private async pull(holder: KnownHost): Promise<void> {
    const { clock, ledger } = this.parts;
    const changes = await this.parts.pull(holder, ledger.catalog().asOf);
    if (changes === null) {
      // A holder that rejects a pull at once is asked again a little later.
      await waitUntil(clock, clock.now() + PULL_DELAY_MS);
      return;
    }
    this.pulledStates.set(holder.id, describeState(holder));
    const newerRecords = ledger.apply(changes);
    this.logPulled(holder, changes, newerRecords.length);
    if (newerRecords.length > 0) this.parts.onPulled();
  }

  // An unexpected error must not end the task, or this host would never catch up again.
  private logFailure(holder: KnownHost, error: unknown): void {
    this.pulledStates.set(holder.id, describeState(holder));
    this.parts.events.emit(EXCHANGE_EVENTS.pullFailed, { peer: holder.id, reason: String(error) });
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

  /** A random live host with records that this one lacks, of this zone if there is one. */
  private chooseHolder(): KnownHost | null {
    const { zone, random, membership } = this.parts;
    const holders = membership
      .live()
      .filter((host) => !this.pulls.has(host.id) && this.holdsMore(host));
    if (holders.length === 0) return null;
    const near = holders.filter((host) => host.zone === zone);
    const candidates = near.length > 0 ? near : holders;
    return candidates[random.integer(candidates.length)]!;
  }

  // Two hosts that are complete up to the same revision and know the same newest one may still hold
  // different records between the two. If the host is complete up to a lower revision, it pulls
  // first, after which the states can be compared.
  private holdsMore(host: KnownHost): boolean {
    const { ledger } = this.parts;
    const { asOf } = ledger.catalog();
    const newest = ledger.newestRevision();
    const isDifferent =
      host.asOf === asOf && host.newest === newest && host.fingerprint !== ledger.fingerprint();
    const mayHoldMore = host.asOf > asOf || host.newest > newest || isDifferent;
    return mayHoldMore && this.pulledStates.get(host.id) !== describeState(host);
  }
}
