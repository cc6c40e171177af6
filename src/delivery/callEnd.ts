import { type ReceivedAnswer } from './attemptResult';
import { type OwnAnswer } from './callerAnswer';

/** Final result of a call: a target's answer, an answer of this host, or a caller that left. */
export type CallEnd =
  | { readonly kind: 'answer'; readonly answer: ReceivedAnswer }
  | { readonly kind: 'own'; readonly own: OwnAnswer }
  | { readonly kind: 'callerLeft' };
