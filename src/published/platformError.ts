/** Why a request to a platform service failed. */
export interface PlatformError {
  readonly kind: 'unreachable' | 'bad-answer';
  readonly detail: string;
}
