import { type RecordedAnswer } from '../peer';
import { type Clock } from '../runtime';

import { type ClaimRequest } from './claimRequest';
import { type ClaimVerdict } from './claimVerdict';
import { type KeyClaim } from './keyClaim';

/** Time for which a key is kept. */
export const KEY_LIFETIME_MS = 10 * 60 * 1000;
/** Longest answer body that is kept for a repeat. */
export const LARGEST_KEPT_ANSWER_BYTES = 4096;

// About 20 MB of claims; a table that is full refuses, since forgetting a key would break its rule.
const LARGEST_CLAIMS = 50_000;
// Bodies beyond this are dropped, oldest first; their status is kept.
const LARGEST_BODIES_BYTES = 32 * 1024 * 1024;
// A call may end this much after its deadline, for instance while its cancellation travels.
const RUNNING_MARGIN_MS = 1000;

/** An answer whose outcome is unknown. */
export const UNKNOWN_ANSWER: RecordedAnswer = Object.freeze({
  status: 0,
  contentType: '',
  body: Buffer.alloc(0),
  whole: false,
});

/** Identifies a key of a service. */
export function keyName(service: string, key: string): string {
  return `${service}\u0000${key}`;
}

/** The idempotency keys that a host remembers, bounded in number, size and time. */
export class KeyTable {
  private readonly claims = new Map<string, KeyClaim>();

  private bodyBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly capacity: number = LARGEST_CLAIMS,
  ) {}

  /** Number of keys that are remembered. */
  size(): number {
    return this.claims.size;
  }

  /** The claim of a key, with a call past its time counted as ended; null when unknown. */
  find(service: string, key: string): KeyClaim | null {
    const name = keyName(service, key);
    const claim = this.claims.get(name);
    if (claim === undefined) return null;
    const now = this.clock.now();
    if (now >= claim.keptUntil) {
      this.remove(name);
      return null;
    }
    if (claim.state === 'ended' || now < claim.runsUntil) return claim;
    return this.put({ ...claim, state: 'ended', answer: UNKNOWN_ANSWER });
  }

  /** Claims a key; `mayGrant` is false while unknown keys may have been claimed elsewhere. */
  claim(request: ClaimRequest, mayGrant: boolean): ClaimVerdict {
    const known = this.find(request.service, request.key);
    if (known !== null) return this.judge(known, request);
    if (!mayGrant) return { kind: 'not-home' };
    this.forgetOld();
    if (this.claims.size >= this.capacity) return { kind: 'full' };
    this.put({
      service: request.service,
      key: request.key,
      fingerprint: request.fingerprint,
      claimant: request.claimant,
      state: 'running',
      answer: null,
      runsUntil: request.deadline + RUNNING_MARGIN_MS,
      keptUntil: this.clock.now() + KEY_LIFETIME_MS,
    });
    return { kind: 'granted' };
  }

  /** Notes how the call of a key ended; null frees the key, since the call did not run. */
  settle(service: string, key: string, answer: RecordedAnswer | null): void {
    const name = keyName(service, key);
    const known = this.claims.get(name);
    if (answer === null) {
      if (known?.state === 'running') this.remove(name);
      return;
    }
    if (known?.state === 'ended' && known.answer?.status !== 0) return;
    const now = this.clock.now();
    this.put({
      service,
      key,
      fingerprint: known?.fingerprint ?? '',
      claimant: known?.claimant ?? '',
      state: 'ended',
      answer,
      runsUntil: now,
      keptUntil: known?.keptUntil ?? now + KEY_LIFETIME_MS,
    });
  }

  /** Takes over a claim that another host reports; a known end is never undone. */
  adopt(claim: KeyClaim): void {
    const known = this.find(claim.service, claim.key);
    if (known?.state === 'ended') return;
    if (known !== null && claim.state === 'running') return;
    this.put(claim);
  }

  /** All claims that are still kept. */
  all(): readonly KeyClaim[] {
    const now = this.clock.now();
    return [...this.claims.values()].filter((claim) => now < claim.keptUntil);
  }

  private judge(known: KeyClaim, request: ClaimRequest): ClaimVerdict {
    if (known.fingerprint !== '' && known.fingerprint !== request.fingerprint) {
      return { kind: 'mismatch' };
    }
    if (known.state === 'ended') return { kind: 'ended', answer: known.answer ?? UNKNOWN_ANSWER };
    // A host has at most one call of a key, so the same claimant only repeats a lost message.
    const repeated = known.claimant !== '' && known.claimant === request.claimant;
    return repeated ? { kind: 'granted' } : { kind: 'in-flight' };
  }

  private put(claim: KeyClaim): KeyClaim {
    const name = keyName(claim.service, claim.key);
    this.bodyBytes -= this.claims.get(name)?.answer?.body.length ?? 0;
    this.bodyBytes += claim.answer?.body.length ?? 0;
    this.claims.set(name, claim);
    this.dropBodies();
    return claim;
  }

  private remove(name: string): void {
    this.bodyBytes -= this.claims.get(name)?.answer?.body.length ?? 0;
    this.claims.delete(name);
  }

  /** Claims are in order of their first arrival, so the oldest come first. */
  private forgetOld(): void {
    const now = this.clock.now();
    for (const [name, claim] of this.claims) {
      if (now < claim.keptUntil) return;
      this.remove(name);
    }
  }

  private dropBodies(): void {
    if (this.bodyBytes <= LARGEST_BODIES_BYTES) return;
    for (const [name, claim] of this.claims) {
      if (claim.answer === null || claim.answer.body.length === 0) continue;
      this.bodyBytes -= claim.answer.body.length;
      const answer = { ...claim.answer, body: UNKNOWN_ANSWER.body, whole: false };
      this.claims.set(name, { ...claim, answer });
      if (this.bodyBytes <= LARGEST_BODIES_BYTES) return;
    }
  }
}
