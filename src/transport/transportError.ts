/** Why a request to the platform or to another host has no reply. */
export interface TransportError {
  readonly kind: 'unreachable' | 'timeout' | 'unreadable';
  readonly message: string;
}
