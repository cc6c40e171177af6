import { type RecordedAnswer } from '../peer';

/** What the home of a key says to a claim. */
export type ClaimVerdict =
  | { readonly kind: 'granted' }
  /** The first call with this key still runs. */
  | { readonly kind: 'in-flight' }
  | { readonly kind: 'ended'; readonly answer: RecordedAnswer }
  /** The key was used for another request. */
  | { readonly kind: 'mismatch' }
  /** The host is not the home of the key, or does not know enough yet. */
  | { readonly kind: 'not-home' }
  | { readonly kind: 'full' };
