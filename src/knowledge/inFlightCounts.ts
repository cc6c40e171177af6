/** Sequence numbers are below this value, so that they take two bytes for as long as a host runs. */
export const SEQUENCE_VALUES = 2048;

/** In-flight counts of one host, as it broadcasts them to the other hosts. */
export interface InFlightCounts {
  /** Key of the id of the host. */
  readonly host: number;
  /**
   * Increases with each message of the host, from 0 again at the end, so that messages out of order
   * are ignored.
   */
  readonly sequence: number;
  /** Calls in flight by the key of the target id; 0 after the last one has ended. */
  readonly calls: ReadonlyMap<number, number>;
}
