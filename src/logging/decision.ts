/** One routing or placement decision; the property names are the fields of its log line. */
export interface Decision {
  readonly callId: string;
  readonly service: string;
  /** Priority class of the call. */
  readonly class: string;
  /** Host chosen to run the call; the logging host itself if it owns the target. */
  readonly host: string;
  /** Chosen target; empty if another host chooses it. */
  readonly target: string;
  readonly reason: string;
  /** Number of candidates considered. */
  readonly candidates: number;
}
