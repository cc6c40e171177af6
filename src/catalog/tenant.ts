/** A team of callers that shares keys, a priority and a limit. */
export interface Tenant {
  readonly name: string;
  /** Digests of its keys, as `digestKey` makes them. */
  readonly keyDigests: readonly string[];
  /** 0 is the most urgent; takes precedence over the priority of a route. Null if none is set. */
  readonly priority: number | null;
  /** Calls a second of all hosts together; 0 means no limit. */
  readonly callsPerSecond: number;
  /** Calls beyond the rate that may come at once. */
  readonly burst: number;
}
