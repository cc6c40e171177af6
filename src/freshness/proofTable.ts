import { type Moment, type SuspensionClock } from '../runtime';

import { type Proof } from './proof';

/**
 * The latest proof that applies to the configuration of this host, and proofs of configurations that
 * have not arrived yet.
 */
export class ProofTable {
  private latest: Proof | null = null;

  private waiting: readonly Proof[] = [];

  constructor(
    private readonly clock: SuspensionClock,
    private readonly configurationRevision: () => number,
  ) {}

  /** Adds a proof. */
  add(proof: Proof): void {
    // A proof that is not later than another one of no higher revision adds nothing.
    const others = this.waiting.filter(
      (other) => other.revision < proof.revision || this.isLater(other.moment, proof.moment),
    );
    this.waiting = [...others, proof];
    this.applyWaiting();
  }

  /** The latest proof that applies to the configuration of this host. */
  current(): Proof | null {
    if (this.waiting.length > 0) this.applyWaiting();
    return this.latest;
  }

  /** Age of the current proof in milliseconds, Infinity without one. */
  ageMs(): number {
    const proof = this.current();
    return proof === null ? Infinity : this.clock.elapsedSince(proof.moment);
  }

  // A configuration with a higher revision than that of a proof was published after the proof, so
  // that what it withdrew was withdrawn after the proof too.
  private applyWaiting(): void {
    const held = this.configurationRevision();
    if (!this.waiting.some(({ revision }) => revision <= held)) return;
    for (const proof of this.waiting) {
      if (proof.revision > held) continue;
      if (this.latest === null || this.isLater(proof.moment, this.latest.moment))
        this.latest = proof;
    }
    this.waiting = this.waiting.filter(({ revision }) => revision > held);
  }

  private isLater(moment: Moment, other: Moment): boolean {
    return this.clock.elapsedSince(moment) < this.clock.elapsedSince(other);
  }
}
