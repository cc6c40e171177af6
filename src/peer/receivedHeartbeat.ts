/** State of a host that each of its heartbeats carries. */
export interface HeartbeatStatus {
  /** The higher of the committed and the accepted epoch. */
  readonly epoch: number;
  readonly established: boolean;
  readonly leaving: boolean;
}

/** A heartbeat received from a peer. */
export interface ReceivedHeartbeat extends HeartbeatStatus {
  readonly hostId: string;
  /** Changes each time the peer starts. */
  readonly incarnation: string;
  /** Monotonic time at which this host sent the heartbeat that the peer echoes; null if unknown. */
  readonly echoedAt: number | null;
}
