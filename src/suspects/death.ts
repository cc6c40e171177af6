/** A target that died while it ran a call. */
export interface Death {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly fingerprint: string;
  readonly target: string;
  readonly callId: string;
  /** True when the call ran as the only suspect of its target. */
  readonly isolated: boolean;
}
