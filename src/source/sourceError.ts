/**
 * Why the source returned no changes. `forgotten`: it no longer has the requested history. `restored`: it was
 * restored from an older copy, so that the requested revision no longer identifies a state.
 */
export interface SourceError {
  readonly kind: 'unreachable' | 'timeout' | 'refused' | 'forgotten' | 'unreadable' | 'restored';
  readonly message: string;
}
