/** What happened to a host from outside; `held`: another process listened for its callers. */
export type DisruptionKind = 'kill' | 'freeze' | 'stop' | 'held';

interface Disruption {
  readonly kind: DisruptionKind;
  readonly from: number;
  /** Infinity while it lasts. */
  to: number;
}

/** The disruptions of a host; times are monotonic, in milliseconds. */
export class HostHistory {
  /** Ids of the calls that its processes have read, as their logs name them. */
  readonly readCalls = new Set<string>();

  private readonly disruptions: Disruption[] = [];

  /** Records the begin of a disruption; returns a function that records its end. */
  begin(kind: DisruptionKind): () => void {
    const disruption: Disruption = { kind, from: performance.now(), to: Infinity };
    this.disruptions.push(disruption);
    return () => {
      disruption.to = performance.now();
    };
  }

  /** Whether a disruption of one of `kinds` overlaps the time between `from` and `to`. */
  overlaps(kinds: readonly DisruptionKind[], from: number, to: number): boolean {
    return this.disruptions.some(
      (disruption) =>
        kinds.includes(disruption.kind) && disruption.from <= to && disruption.to >= from,
    );
  }
}
