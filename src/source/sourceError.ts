/** Why the source gave no changes. `forgotten`: it no longer has the history asked for. */
export interface SourceError {
  readonly kind: 'unreachable' | 'timeout' | 'refused' | 'forgotten' | 'unreadable';
  readonly message: string;
}
