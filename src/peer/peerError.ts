/** Why a call to a peer failed. */
export interface PeerError {
  readonly kind: 'unreachable' | 'deadline' | 'refused' | 'failed';
  readonly detail: string;
}
