import { type CallTraits } from '../routing';

import { type CallBody } from './callBody';
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
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
}
