/** Why a peer did not answer. */
export interface PeerError {
  readonly kind: 'unreachable' | 'deadline' | 'refused' | 'failed';
  readonly detail: string;
}
