/** Why a service of the platform could not be read. */
export interface PlatformError {
  readonly kind: 'unreachable' | 'bad-answer';
  readonly detail: string;
}
