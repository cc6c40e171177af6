import { type RecordedAnswer } from '../peer';

/** Stored state of one idempotency key. */
export interface KeyClaim {
  readonly service: string;
  readonly key: string;
  /** Digest of method and path; empty when unknown. */
  readonly fingerprint: string;
  /** Host that runs or ran the call; empty when unknown. */
  readonly claimant: string;
  readonly state: 'running' | 'ended';
  /** Whether the home of the key has granted the claim; the call runs only then. */
  readonly isGranted: boolean;
  /** Answer of an ended call; null while it runs. Status 0 means that the outcome is unknown. */
  readonly answer: RecordedAnswer | null;
  /** Monotonic time after which a running call can no longer be running. */
  readonly runsUntil: number;
  /** Monotonic time at which the key expires. */
  readonly expiresAt: number;
}
