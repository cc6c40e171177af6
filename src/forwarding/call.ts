import { type OutcomeRecord } from '../outcomes';
import { type CallTraits } from '../routing';

import { type CallBody } from './callBody';
import { type Cancellation } from './cancellation';
import { type HeaderMap } from './headers';

/** A call as this host forwards it. */
export interface Call {
  readonly traits: CallTraits;
  readonly method: string;
  /** Path and query behind the service segment. */
  readonly path: string;
  /** End-to-end headers of the caller. */
  readonly headers: HeaderMap;
  readonly body: CallBody;
  /** The `baggage` header for the target, with the depth of the target's own calls. */
  readonly baggage: string;
  /** Number of gateways that the chain of calls passed as an entry before this one. */
  readonly depth: number;
  readonly cancellation: Cancellation;
  readonly record: OutcomeRecord;
}
