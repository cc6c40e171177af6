/** Steps of a graceful shutdown, supplied by `serve`. */
export interface ShutdownSteps {
  /** Makes /readyz fail, so that the balancer directs callers to other hosts. */
  readonly markNotReady: () => void;
  /** Hands the owned targets over to other hosts; resolves when the handover is complete. */
  readonly leaveFleet: (deadline: number) => Promise<void>;
  /** Makes every further answer to a caller close its connection. */
  readonly closeConnectionsWithAnswers: () => void;
  /** Stops accepting connections and closes idle ones. */
  readonly stopAccepting: () => void;
  /** Number of calls in flight on this host, from callers and from other hosts. */
  readonly callsInFlight: () => number;
  /** Closes all resources, interrupting calls that are still in flight. */
  readonly closeResources: () => Promise<void>;
}

/** Deadlines of a graceful shutdown, in monotonic milliseconds. */
export interface ShutdownDeadlines {
  /** New calls are accepted until then, since the balancer may not have seen /readyz fail. */
  readonly noticeUntil: number;
  /** The process ends by then, even with calls in flight. */
  readonly stopBy: number;
}

/** Result of a shutdown. */
export interface ShutdownReport {
  readonly interruptedCalls: number;
  /** True when the deadline or a second signal ended the shutdown early. */
  readonly hasEndedEarly: boolean;
}
