import { type OutcomeRecord } from '../outcomes';
import { type CallTraits } from '../routing';

import { type CallBody } from './callBody';
import { type Cancellation } from './cancellation';
import { type HeaderMap } from './headers';

/** A call as this host forwards it. */
export interface Call {
  readonly traits: CallTraits;
  readonly method: string;
  /** Path and query after the service segment. */
  readonly path: string;
  /** End-to-end headers of the caller. */
  readonly headers: HeaderMap;
  readonly body: CallBody;
  /** `baggage` header for the target; it carries the depth of calls that the target makes. */
  readonly baggage: string;
  /** Number of gateways that the call chain has entered before this one. */
  readonly depth: number;
  readonly cancellation: Cancellation;
  readonly record: OutcomeRecord;
}
