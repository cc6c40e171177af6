import { type RecordedAnswer } from '../peer';
import { type Clock } from '../runtime';

import { type ClaimRequest } from './claimRequest';
import { type ClaimResult } from './claimResult';
import { type KeyClaim } from './keyClaim';

/** Time after which a key expires. */
export const KEY_LIFETIME_MS = 10 * 60 * 1000;
/** Longest answer body that is stored for retries. */
export const MAX_STORED_ANSWER_BYTES = 4096;

// About 20 MB of claims. A full table refuses new keys: evicting a key could let a call run twice.
const MAX_CLAIMS = 50_000;
// Bodies beyond this are evicted, oldest first; the status of their answers is kept.
const MAX_TOTAL_BODY_BYTES = 32 * 1024 * 1024;
// A call may end this long after its deadline, for instance while its cancellation is in transit.
const DEADLINE_MARGIN_MS = 1000;

/** Answer of a call whose outcome is unknown. */
export const UNKNOWN_ANSWER: RecordedAnswer = Object.freeze({
  status: 0,
  contentType: '',
  body: Buffer.alloc(0),
  whole: false,
});

/** Name that identifies a key of a service. */
export function keyName(service: string, key: string): string {
  return `${service}\u0000${key}`;
}

/** Idempotency keys stored on a host, bounded in number, size and time. */
export class KeyTable {
  private readonly claims = new Map<string, KeyClaim>();

  private bodyBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly capacity: number = MAX_CLAIMS,
  ) {}

  /** Number of stored keys. */
  size(): number {
    return this.claims.size;
  }

  /** Returns the claim of a key, or null; a call past `runsUntil` counts as ended. */
  find(service: string, key: string): KeyClaim | null {
    const name = keyName(service, key);
    const claim = this.claims.get(name);
    if (claim === undefined) return null;
    const now = this.clock.now();
    if (now >= claim.expiresAt) {
      this.remove(name);
      return null;
    }
    if (claim.state === 'ended' || now < claim.runsUntil) return claim;
    return this.store({ ...claim, state: 'ended', answer: UNKNOWN_ANSWER });
  }

  /**
   * Claims a key; `mayGrant` is false while unknown keys may have been granted elsewhere, `isGranted`
   * is false while the home of the key is still to be asked.
   */
  claim(request: ClaimRequest, mayGrant: boolean, isGranted = true): ClaimResult {
    const known = this.find(request.service, request.key);
    if (known !== null) return this.resultForKnown(known, request);
    if (!mayGrant) return { kind: 'not-home' };
    this.removeExpired();
    if (this.claims.size >= this.capacity) return { kind: 'full' };
    this.store({
      service: request.service,
      key: request.key,
      fingerprint: request.fingerprint,
      claimant: request.claimant,
      state: 'running',
      isGranted,
      answer: null,
      runsUntil: request.deadline + DEADLINE_MARGIN_MS,
      expiresAt: this.clock.now() + KEY_LIFETIME_MS,
    });
    return { kind: 'granted' };
  }

  /** Records that the home of a key has granted its claim. */
  confirm(service: string, key: string): void {
    const known = this.claims.get(keyName(service, key));
    if (known !== undefined) this.store({ ...known, isGranted: true });
  }

  /** Records how the call of a key ended; a null `answer` (it did not run) releases the key. */
  settle(service: string, key: string, answer: RecordedAnswer | null): void {
    const name = keyName(service, key);
    const known = this.claims.get(name);
    if (answer === null) {
      if (known?.state === 'running') this.remove(name);
      return;
    }
    if (known?.state === 'ended' && known.answer?.status !== 0) return;
    const now = this.clock.now();
    this.store({
      service,
      key,
      fingerprint: known?.fingerprint ?? '',
      claimant: known?.claimant ?? '',
      state: 'ended',
      isGranted: true,
      answer,
      runsUntil: now,
      expiresAt: known?.expiresAt ?? now + KEY_LIFETIME_MS,
    });
  }

  /** Merges a claim that another host reported; it never replaces a call known to have ended. */
  mergeReported(claim: KeyClaim): void {
    const known = this.find(claim.service, claim.key);
    if (known?.state === 'ended') return;
    if (known !== null && claim.state === 'running') return;
    this.store(claim);
  }

  /** All claims that have not expired. */
  unexpiredClaims(): readonly KeyClaim[] {
    const now = this.clock.now();
    return [...this.claims.values()].filter((claim) => now < claim.expiresAt);
  }

  private resultForKnown(known: KeyClaim, request: ClaimRequest): ClaimResult {
    if (known.fingerprint !== '' && known.fingerprint !== request.fingerprint) {
      return { kind: 'mismatch' };
    }
    if (known.state === 'ended') return { kind: 'ended', answer: known.answer ?? UNKNOWN_ANSWER };
    // A host runs at most one call per key, so a second claim by the same host repeats a message.
    const isRepeatedMessage = known.claimant !== '' && known.claimant === request.claimant;
    return isRepeatedMessage ? { kind: 'granted' } : { kind: 'in-flight' };
  }

  private store(claim: KeyClaim): KeyClaim {
    const name = keyName(claim.service, claim.key);
    this.bodyBytes -= this.claims.get(name)?.answer?.body.length ?? 0;
    this.bodyBytes += claim.answer?.body.length ?? 0;
    this.claims.set(name, claim);
    this.evictBodies();
    return claim;
  }

  private remove(name: string): void {
    this.bodyBytes -= this.claims.get(name)?.answer?.body.length ?? 0;
    this.claims.delete(name);
  }

  /** Removes expired claims; the map is in insertion order, so the oldest come first. */
  private removeExpired(): void {
    const now = this.clock.now();
    for (const [name, claim] of this.claims) {
      if (now < claim.expiresAt) return;
      this.remove(name);
    }
  }

  private evictBodies(): void {
    if (this.bodyBytes <= MAX_TOTAL_BODY_BYTES) return;
    for (const [name, claim] of this.claims) {
      if (claim.answer === null || claim.answer.body.length === 0) continue;
      this.bodyBytes -= claim.answer.body.length;
      const answer = { ...claim.answer, body: UNKNOWN_ANSWER.body, whole: false };
      this.claims.set(name, { ...claim, answer });
      if (this.bodyBytes <= MAX_TOTAL_BODY_BYTES) return;
    }
  }
}
