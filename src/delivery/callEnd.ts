import { type ReceivedAnswer } from './attemptResult';
import { type OwnAnswer } from './callerAnswer';

/** What a call ends with. */
export type CallEnd =
  | { readonly kind: 'answer'; readonly answer: ReceivedAnswer }
  | { readonly kind: 'own'; readonly own: OwnAnswer }
  | { readonly kind: 'callerLeft' };
