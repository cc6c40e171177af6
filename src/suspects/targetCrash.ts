/** A crash of a target while it ran a call. */
export interface TargetCrash {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly fingerprint: string;
  readonly target: string;
  readonly callId: string;
  /** Whether the call was the only suspect that ran at the target. */
  readonly isolated: boolean;
}
