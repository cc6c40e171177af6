/** State of the configuration service as seen by this host; the warnings are computed from it. */
export interface ConfigurationState {
  /** Monotonic time of the last answer not older than an earlier one; initially the start time. */
  readonly lastFreshAt: number;
  /** Version of the last valid sheet that was read; null when none was read yet. */
  readonly publishedVersion: number | null;
  /** Highest valid version read so far; above `publishedVersion` when an older one is served. */
  readonly highestVersion: number;
  /** First validation error of the published sheet while it is invalid; empty otherwise. */
  readonly invalid: string;
  /** Version currently published with content that differs from before; null otherwise. */
  readonly conflictingVersion: number | null;
}
