/** What a host knows of the configuration service; the warnings are computed from it. */
export interface ConfigurationState {
  /** Monotonic time of the last answer that was not older than an earlier one; at first, the start. */
  readonly lastFreshAt: number;
  /** Version of the last valid sheet that was read; null when none was read yet. */
  readonly publishedVersion: number | null;
  /** Highest valid version read so far; above `publishedVersion` when an older one is served. */
  readonly highestVersion: number;
  /** First mistake of the published sheet while it is invalid; empty otherwise. */
  readonly invalid: string;
  /** Version that was published with two contents, while that is so; null otherwise. */
  readonly conflictingVersion: number | null;
}
