/** Why a request to the platform or to another host failed. */
export interface TransportError {
  readonly kind: 'unreachable' | 'timeout' | 'unreadable';
  readonly message: string;
}
