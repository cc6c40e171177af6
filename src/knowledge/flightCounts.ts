/** Calls that one host has in flight at targets, as it tells them to the other hosts. */
export interface FlightCounts {
  /** Key of the host's id. */
  readonly host: number;
  /** Rises with each message of the host, so that an overtaken one changes nothing. */
  readonly sequence: number;
  /** Calls in flight by the key of the target's id; 0 when the last one has ended. */
  readonly calls: ReadonlyMap<number, number>;
}
