/** What a host says about itself with each heartbeat. */
export interface BeatStatus {
  /** The larger of the committed and the accepted epoch. */
  readonly epoch: number;
  readonly established: boolean;
  readonly leaving: boolean;
}

/** A heartbeat that arrived from a peer. */
export interface Beat extends BeatStatus {
  readonly hostId: string;
  /** Differs after each start of the peer. */
  readonly incarnation: string;
  /** Monotonic time at which this host sent the heartbeat that the peer echoes; null for none. */
  readonly echoedAt: number | null;
}
