/** Why a request on a connection has no complete answer. */
export interface ConnectionError {
  readonly kind: ConnectionErrorKind;
  readonly message: string;
}

/**
 * `notSent`: the request was not sent, usually because the connection could not be opened;
 * `noSocket`: it was not sent because this host can open no more sockets;
 * `withdrawn`: its user withdrew it when it was about to be sent;
 * `broken`: the connection ended before the answer was complete; `garbled`: the answer violates
 * HTTP; `aborted`: this host cancelled the request.
 */
export type ConnectionErrorKind =
  'notSent' | 'noSocket' | 'withdrawn' | 'broken' | 'garbled' | 'aborted';
