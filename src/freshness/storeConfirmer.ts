import { type CatalogChanges, eraOf, joinRevision, type Ledger } from '../catalog';
import { type Clock, type Random, type SuspensionClock } from '../runtime';
import { type CatalogSource, type Confirmation, type SourceError } from '../source';

import { type Proof } from './proof';

// A store that takes longer is given twice the time in the next call, so that a slow one still
// confirms and a broken connection is found quickly at first.
const CONFIRM_TIMEOUT_MS = 700;
const MAX_CONFIRM_TIMEOUT_MS = 2000;
const BASE_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2000;

/** Dependencies and callbacks of `StoreConfirmer`. */
export interface StoreConfirmerParts {
  readonly clock: Clock;
  readonly suspensionClock: SuspensionClock;
  readonly random: Random;
  readonly ledger: Ledger;
  readonly source: Pick<CatalogSource, 'confirm'>;
  readonly onProof: (proof: Proof) => void;
  /** Called with a configuration that this host did not know. */
  readonly onChanges: (changes: CatalogChanges) => void;
  /** Called with the revision of a change that this host did not know, and that is not in a configuration. */
  readonly onOtherChange: (revision: number) => void;
  /** Called with the result of each call. */
  readonly onEnd: (outcome: 'confirmed' | SourceError['kind']) => void;
}

/** Reads at the store whether the configuration of this host is the newest one. */
export class StoreConfirmer {
  private isRunning = false;

  private consecutiveFailures = 0;

  private timeoutMs = CONFIRM_TIMEOUT_MS;

  private startedAt = -Infinity;

  private retryAt = -Infinity;

  /** The revision up to which the configuration was last read, and its own revision then. */
  private confirmed = { revision: 0, asOf: 0 };

  /** The first era that the source may be in; it rises when the source was restored. */
  private firstEra = 0;

  constructor(private readonly parts: StoreConfirmerParts) {}

  /** Whether a call may start now: none is running, and the store did not fail just now. */
  mayStart(): boolean {
    return !this.isRunning && this.parts.clock.now() >= this.retryAt;
  }

  /** Monotonic time at which the last call started. */
  lastStartAt(): number {
    return this.startedAt;
  }

  /** Calls the store once. */
  async confirm(): Promise<void> {
    const { clock, suspensionClock, source, ledger } = this.parts;
    this.isRunning = true;
    this.startedAt = clock.now();
    const moment = suspensionClock.now();
    const newestBefore = ledger.newestRevision();
    const revision = ledger.configurationRevision();
    const confirmedUntil = this.confirmed.revision === revision ? this.confirmed.asOf : revision;
    const read = Math.max(confirmedUntil, ledger.catalog().asOf);
    // In a newer era than that of the configuration, all writes of that era are read.
    this.firstEra = Math.max(this.firstEra, eraOf(newestBefore));
    const after = Math.max(read, joinRevision(this.firstEra, 0));
    try {
      const result = await source.confirm(after, this.startedAt + this.timeoutMs);
      if (result.err && result.val.kind === 'restored') {
        this.firstEra = eraOf(after) + 1;
        this.parts.onEnd('restored');
        return;
      }
      if (result.err) {
        this.handleFailure(result.val);
        return;
      }
      const proven = this.provenRevision(result.val, revision, newestBefore);
      if (proven === null) {
        this.handleFailure({ kind: 'unreadable', message: 'an older state than the known one' });
        return;
      }
      this.apply(result.val, proven);
      this.parts.onProof({ revision: proven, moment });
      this.parts.onEnd('confirmed');
    } finally {
      this.isRunning = false;
    }
  }

  // An answer with an older state than this host knew when it asked proves nothing.
  private provenRevision(
    { asOf, records }: Confirmation,
    known: number,
    newestBefore: number,
  ): number | null {
    const revisions = records.map(({ revision }) => revision);
    if (asOf < newestBefore || revisions.some((revision) => revision < known)) return null;
    return Math.max(known, ...revisions);
  }

  private apply({ asOf, records, newestChange }: Confirmation, proven: number): void {
    const { ledger, onChanges, onOtherChange } = this.parts;
    this.consecutiveFailures = 0;
    this.timeoutMs = CONFIRM_TIMEOUT_MS;
    // Only the configuration was read, so that the catalog is complete up to no later revision.
    const { asOf: complete } = ledger.catalog();
    const changes = { after: complete, asOf: complete, records };
    if (ledger.apply(changes).length > 0) onChanges(changes);
    this.confirmed = { revision: proven, asOf };
    if (newestChange > Math.max(ledger.newestRevision(), proven)) onOtherChange(newestChange);
  }

  private handleFailure({ kind }: SourceError): void {
    const { clock, random, onEnd } = this.parts;
    const isTimeout = kind === 'timeout';
    this.timeoutMs = isTimeout
      ? Math.min(2 * this.timeoutMs, MAX_CONFIRM_TIMEOUT_MS)
      : CONFIRM_TIMEOUT_MS;
    const delayMs = Math.min(
      BASE_RETRY_DELAY_MS * 2 ** this.consecutiveFailures,
      MAX_RETRY_DELAY_MS,
    );
    this.consecutiveFailures += 1;
    this.retryAt = clock.now() + delayMs * (0.5 + random.next());
    onEnd(kind);
  }
}
