/** Why a request on a connection has no whole answer. */
export interface ConnectionError {
  readonly kind: ConnectionErrorKind;
  readonly message: string;
}

/**
 * `notSent`: the connection could not be opened; `broken`: it ended before the answer was whole;
 * `garbled`: what came is no answer in the protocol; `aborted`: this host gave the request up.
 */
export type ConnectionErrorKind = 'notSent' | 'broken' | 'garbled' | 'aborted';
