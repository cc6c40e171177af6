/** One routing or placement decision, as it is logged. */
export interface Decision {
  readonly callId: string;
  readonly service: string;
  /** Priority class of the call. */
  readonly class: string;
  /** Host that was chosen to run the call; the logging host itself when it owns the target. */
  readonly host: string;
  /** Target that was chosen; empty when the choice of the target is left to another host. */
  readonly target: string;
  readonly reason: string;
  /** Number of candidates that the choice was made from. */
  readonly candidates: number;
}
