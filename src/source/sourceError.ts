/** Why the source returned no changes. `forgotten`: it no longer has the requested history. */
export interface SourceError {
  readonly kind: 'unreachable' | 'timeout' | 'refused' | 'forgotten' | 'unreadable';
  readonly message: string;
}
