const RETENTION_MS = 10_000;

/** Span of monotonic time, in milliseconds, at whose end the source answered a request from its begin. */
interface Availability {
  readonly from: number;
  readonly to: number;
}

/**
 * When the source is known to have been available to some host, and the last outage that this leaves room
 * for. Answers may become known late and in any order; one that falls into an outage shows that there was none.
 */
export class AnswerHistory {
  /** In ascending order of their begin. */
  private spans: readonly Availability[] = [];

  constructor(
    /** Time without an answer from which on entries of running targets may expire, in milliseconds. */
    private readonly shortestOutageMs: number,
  ) {}

  /** Records that a request from one monotonic time was answered at another. */
  record(from: number, to: number): void {
    const spans = [...this.spans, { from, to }].sort((left, right) => left.from - right.from);
    const oldest = to - RETENTION_MS;
    // The last answer before the others shows whether an outage ended with them.
    const firstKept = Math.max(0, spans.findIndex((span) => span.to >= oldest) - 1);
    this.spans = spans.slice(firstKept);
  }

  /** Records a failed request: before the first known answer, there may have been an outage of any length. */
  recordFailure(): void {
    if (this.spans.length === 0) this.spans = [{ from: -Infinity, to: -Infinity }];
  }

  /** Monotonic time by which the last outage had ended, -Infinity without one. */
  outageEnd(): number {
    let availableUntil = Infinity;
    let outageEnd = -Infinity;
    for (const { from, to } of this.spans) {
      if (from - availableUntil >= this.shortestOutageMs) outageEnd = from;
      availableUntil = availableUntil === Infinity ? to : Math.max(availableUntil, to);
    }
    return outageEnd;
  }
}
