/** When a key of a run was in the published configuration; monotonic times in milliseconds. */
export interface KeyLife {
  readonly publishedAt: number;
  /** Infinity while the key is in the configuration. */
  withdrawnAt: number;
}
