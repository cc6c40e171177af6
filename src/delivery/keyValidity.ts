/** Whether callers' keys may be used, and how old the proof is that the configuration is the newest. */
export interface KeyValidity {
  /** Whether calls that need a key may run now. */
  mayUseKeys(): boolean;
  /** Age of the proof that this host's configuration is the newest one; Infinity without a proof. */
  proofAgeMs(): number;
  /** Asks for a newer proof; does not wait for it. */
  requestProof(): void;
  /** Time until a proof is likely, in milliseconds. */
  retryAfterMs(): number;
}

/** Default for hosts whose keys need no proof. */
export const ALWAYS_VALID_KEYS: KeyValidity = {
  mayUseKeys: () => true,
  proofAgeMs: () => 0,
  requestProof: () => {},
  retryAfterMs: () => 0,
};
