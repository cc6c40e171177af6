import { type Supervisor } from '../lifecycle';
import { type Clock, type Random } from '../runtime';

import { type OtherZoneRounds } from './otherZoneRounds';
import { type ProofSchedule } from './proofSchedule';
import { type ProofSources } from './proofSources';
import { type StoreConfirmer } from './storeConfirmer';
import { StoreTurns } from './storeTurns';

// A host that has started gets its first proof from another host within this time.
const FIRST_PROOF_WAIT_MS = 300;
const MIN_EXTRA_INTERVAL_MS = 200;

/** Dependencies of `Confirmations`. */
export interface ConfirmationsParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly tasks: Supervisor;
  readonly schedule: ProofSchedule;
  readonly sources: ProofSources;
  readonly otherZoneRounds: OtherZoneRounds;
  readonly confirmer: StoreConfirmer;
  /** Whether this host reads the store for its zone. */
  readonly isReading: () => boolean;
}

/** Decides when this host confirms at the store: as a reader, in place of readers, or in its turn. */
export class Confirmations {
  private readonly storeTurns: StoreTurns;

  private isConfirming = false;

  constructor(private readonly parts: ConfirmationsParts) {
    this.storeTurns = new StoreTurns(parts.random);
  }

  /**
   * Confirms if this is due with a proof of this age, Infinity without one; `missingMs` is then the time for which
   * one has been needed.
   */
  confirmIfDue(ageMs: number, missingMs: number): void {
    if (this.isDue(ageMs, missingMs)) this.confirm();
  }

  /** Confirms now, unless a call is running or has just started. */
  confirmSoon(): void {
    if (this.mayStartExtra()) this.confirm();
  }

  private isDue(ageMs: number, missingMs: number): boolean {
    const { clock, confirmer, schedule, sources, isReading } = this.parts;
    if (!confirmer.mayStart()) return false;
    if (isReading() && this.isDueAsReader(ageMs)) return true;
    if (!this.mayStartExtra()) return false;
    const hasProof = Number.isFinite(ageMs);
    if (hasProof && this.isDueAsStandIn(ageMs)) return true;
    if (missingMs < (hasProof ? schedule.storeTurnAgeMs : FIRST_PROOF_WAIT_MS)) return false;
    return this.storeTurns.isDue(clock.now(), missingMs, sources.zoneSize());
  }

  /** Whether the reader of this zone confirms, and does not get the proof of another zone. */
  private isDueAsReader(ageMs: number): boolean {
    const { schedule, sources, otherZoneRounds } = this.parts;
    if (ageMs < schedule.confirmAgeMs(0)) return false;
    const zoneRank = sources.confirmationRank();
    if (ageMs < schedule.confirmAgeMs(zoneRank)) return false;
    return zoneRank === 0 || otherZoneRounds.haveFailed();
  }

  /** Whether the hosts that confirm before this one have failed to, or are cut off from the source. */
  private isDueAsStandIn(ageMs: number): boolean {
    const { schedule, sources } = this.parts;
    // The ranks take a pass over all known hosts, and are not needed at rest.
    if (ageMs < schedule.fallbackAgeMs) return false;
    return ageMs >= schedule.standInAgeMs(sources.readerRank(), sources.confirmationRank());
  }

  private mayStartExtra(): boolean {
    const { clock, confirmer } = this.parts;
    return confirmer.mayStart() && clock.now() >= confirmer.lastStartAt() + MIN_EXTRA_INTERVAL_MS;
  }

  // After an unexpected error the supervisor calls again, so that no further call may start meanwhile.
  private confirm(): void {
    if (this.isConfirming) return;
    this.isConfirming = true;
    void this.parts.tasks
      .run('confirming the configuration', () => this.parts.confirmer.confirm())
      .finally(() => {
        this.isConfirming = false;
      });
  }
}
