/** What a graceful shutdown acts on; each step is given by the assembly of the gateway. */
export interface ShutdownSteps {
  /** Makes /readyz fail, so that the balancer sends callers elsewhere. */
  readonly markNotReady: () => void;
  /** Hands the owned targets over to other hosts; resolves when they have taken over. */
  readonly leaveFleet: (deadline: number) => Promise<void>;
  /** From now on each answer closes its caller's connection. */
  readonly closeConnectionsWithAnswers: () => void;
  /** Takes no further connections and closes idle ones. */
  readonly stopAccepting: () => void;
  /** Calls that this host holds for callers and for other hosts. */
  readonly callsInFlight: () => number;
  /** Closes all resources. */
  readonly closeResources: () => Promise<void>;
}

/** Deadlines of a graceful shutdown, in monotonic milliseconds. */
export interface ShutdownDeadlines {
  /** Until then new calls are accepted, since the balancer may not have seen the notice yet. */
  readonly noticeUntil: number;
  /** By then the process ends, also with calls in flight. */
  readonly stopBy: number;
}

/** What a shutdown interrupted. */
export interface ShutdownReport {
  readonly interruptedCalls: number;
  /** True when the deadline or a second signal ended the shutdown early. */
  readonly cutShort: boolean;
}
