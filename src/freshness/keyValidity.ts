/** Whether the keys of callers may be used, and how current the knowledge of them is. */
export interface KeyValidity {
  /** Whether keys may be used now; always true unless revocation is strict. */
  mayUseKeys(): boolean;
  /** Age of the proof that the configuration is the newest one, in milliseconds; Infinity without. */
  proofAgeMs(): number;
  /** Requests a proof at once, unless one has just been requested. */
  requestProof(): void;
  /** Time in milliseconds within which a proof is likely. */
  retryAfterMs(): number;
}

/** Default for hosts whose keys need no proof. */
export const ALWAYS_VALID_KEYS: KeyValidity = {
  mayUseKeys: () => true,
  proofAgeMs: () => 0,
  requestProof: () => {},
  retryAfterMs: () => 0,
};
