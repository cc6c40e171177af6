import { type RecordedAnswer } from '../peer';

/** Result of a claim at the home of its key. */
export type ClaimResult =
  | { readonly kind: 'granted' }
  /** The first call with this key is still running. */
  | { readonly kind: 'in-flight' }
  | { readonly kind: 'ended'; readonly answer: RecordedAnswer }
  /** The key was used with another method or path. */
  | { readonly kind: 'mismatch' }
  /** The host is not the home of the key, or may not know of all its claims yet. */
  | { readonly kind: 'not-home' }
  | { readonly kind: 'full' };
