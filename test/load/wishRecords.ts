/** A call that has reached a target. */
export interface WishArrival {
  /** The host that sent it, with the number of its start. */
  readonly host: string;
  readonly hostStartedAt: number;
  readonly target: string;
  readonly at: number;
  /** Time at which the host was sent the call. */
  readonly sentAt: number;
  /** Calls at the target, with this one. */
  readonly load: number;
  /** Time without calls that the target asks for in its refusal; null when it runs the call. */
  readonly quietMs: number | null;
}

/** Calls that reached a leaving target after the first host knew of it. */
export interface LeavingFigures {
  readonly calls: number;
  /** Those from hosts that have started since. */
  readonly ofRestarted: number;
  readonly mostOfOneHost: number;
  /** Time of the last of them after the first host knew. */
  readonly lastAfterMs: number;
}

const DRAIN_MS = 2000;
// A host heeds a Retry-After from this time after it.
const RETRY_AFTER_NOTICE_MS = 500;
const MAX_EARLY_CALLS = 2;

/** What hosts sent to targets that leave or ask for no calls. */
export class WishRecords {
  private readonly arrivals: WishArrival[] = [];

  /** Time at which a start of a host first passed on an answer that says that its target leaves. */
  private readonly passedOn = new Map<string, number>();

  private firstKnownAt = Infinity;

  recordArrival(arrival: WishArrival): void {
    this.arrivals.push(arrival);
  }

  recordPassedOn(host: string, target: string, at: number): void {
    const key = `${target} from ${host}`;
    if (!this.passedOn.has(key)) this.passedOn.set(key, at);
  }

  /** Records that a host has noticed that a target is leaving. */
  recordKnown(at: number): void {
    this.firstKnownAt = Math.min(this.firstKnownAt, at);
  }

  /** Arrivals at all targets from `from` to before `to`. */
  all(from: number, to: number): readonly WishArrival[] {
    return this.arrivals.filter(({ at }) => at >= from && at < to);
  }

  /** Arrivals at a target from `from` to before `to`. */
  between(target: string, from: number, to: number): readonly WishArrival[] {
    return this.arrivals.filter(
      (arrival) => arrival.target === target && arrival.at >= from && arrival.at < to,
    );
  }

  /** Arrivals at a leaving target after the first host knew of it, and the time of the last. */
  afterLeaving(target: string): LeavingFigures {
    const late = this.between(target, this.firstKnownAt, Infinity);
    const byHost = new Map<string, number>();
    for (const { host } of late) byHost.set(host, (byHost.get(host) ?? 0) + 1);
    return {
      calls: late.length,
      ofRestarted: late.filter((call) => call.hostStartedAt > this.firstKnownAt).length,
      mostOfOneHost: Math.max(0, ...byHost.values()),
      lastAfterMs: Math.round((late.at(-1)?.at ?? this.firstKnownAt) - this.firstKnownAt),
    };
  }

  /** Calls that break the rules for targets that leave (DRAIN) or ask for no calls (BUDGET). */
  violations(): readonly string[] {
    return [...this.leavingViolations(), ...this.quietViolations()];
  }

  private leavingViolations(): readonly string[] {
    return this.arrivals.flatMap(({ host, target, sentAt }) => {
      const key = `${target} from ${host}`;
      const afterMs = sentAt - (this.passedOn.get(key) ?? Infinity);
      return afterMs > DRAIN_MS ? [`DRAIN: ${key}, ${Math.round(afterMs)} ms after`] : [];
    });
  }

  private quietViolations(): readonly string[] {
    const broken = new Set<string>();
    const byPair = new Map<string, WishArrival[]>();
    for (const arrival of this.arrivals) {
      const key = `${arrival.target} from ${arrival.host}`;
      const known = byPair.get(key);
      if (known === undefined) byPair.set(key, [arrival]);
      else known.push(arrival);
    }
    for (const [key, arrivals] of byPair) {
      for (const { at, quietMs } of arrivals) {
        if (quietMs === null) continue;
        const early = arrivals.filter(
          (other) => other.at > at + RETRY_AFTER_NOTICE_MS && other.at < at + quietMs,
        );
        if (early.length > MAX_EARLY_CALLS) broken.add(`BUDGET: ${early.length} calls, ${key}`);
      }
    }
    return [...broken];
  }
}
