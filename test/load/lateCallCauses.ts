import { type CallEnd, type IncomingCall } from '../../src/delivery';
import { type ModelTarget } from '../../standins/fleet';

import { type FleetObserver } from './networkedFleet';
import { type NetworkedHost } from './networkedHost';

// A target is slow from this pace on.
const SLOW_PACE_PERCENT = 200;
// A call that was sent later than this share of its objective has waited at its host.
const WAIT_OBJECTIVE_SHARE = 0.1;
// Calls are with the host, and answers with the caller, this long after they were sent.
const CALLER_DELAYS_MS = 2;

/**
 * Causes of late calls, by what was the case at the first target when the call arrived there; a call counts
 * for the first cause of this list that applies.
 */
export const LATE_CAUSES = [
  'waited',
  /** The target was slow, and not one of those that the host uses and is told of. */
  'slowUnused',
  'slowKnown',
  'slowUnknown',
  /** The target became slow while it ran the call. */
  'slowLater',
  'fullKnown',
  'fullUnknown',
  'other',
] as const;

type LateCause = (typeof LATE_CAUSES)[number];

/** Calls of one kind; `hedged` of all of them, and of the late ones. */
export interface CausesOfKind extends Record<LateCause, number> {
  calls: number;
  hedged: number;
  late: number;
  lateHedged: number;
}

interface Arrival {
  readonly at: number;
  readonly target: ModelTarget;
  readonly isUsed: boolean;
  readonly load: number;
  readonly knownLoad: number;
  readonly pace: number;
  readonly knownPace: number;
}

function causeOf(call: IncomingCall, first: Arrival): LateCause {
  const { slots } = first.target.target;
  const waitedMs = first.at - call.arrivedAt;
  if (waitedMs > call.route.latencyObjectiveMs * WAIT_OBJECTIVE_SHARE) return 'waited';
  if (first.pace >= SLOW_PACE_PERCENT) {
    if (!first.isUsed) return 'slowUnused';
    return first.knownPace >= SLOW_PACE_PERCENT ? 'slowKnown' : 'slowUnknown';
  }
  const isSlowNow = first.target.pace() >= SLOW_PACE_PERCENT;
  if (isSlowNow || first.target.pacedAt > first.at) return 'slowLater';
  if (first.load >= slots) return first.knownLoad >= slots ? 'fullKnown' : 'fullUnknown';
  return 'other';
}

/** Counts why calls that arrived from `countedFromMs` on were late. */
export class LateCallCauses implements FleetObserver {
  readonly byKind = new Map<string, CausesOfKind>();

  private readonly arrivals = new Map<string, readonly Arrival[]>();

  constructor(private readonly countedFromMs: number) {}

  onArrival(host: NetworkedHost, call: IncomingCall, target: ModelTarget, now: number): void {
    const { id } = target.target;
    const known = host.model.targetStates.get(id)!;
    const { running, waiting } = target.load();
    const arrival = {
      ...{ at: now, target, isUsed: host.subsets.has(id) },
      // The host counts this call already.
      ...{ load: running + waiting, knownLoad: host.model.targetStates.load(known) - 1 },
      ...{ pace: target.pace(), knownPace: known.pace },
    };
    this.arrivals.set(call.id, [...(this.arrivals.get(call.id) ?? []), arrival]);
  }

  onEnd(call: IncomingCall, end: CallEnd, now: number): void {
    const arrivals = this.arrivals.get(call.id) ?? [];
    this.arrivals.delete(call.id);
    if (call.arrivedAt < this.countedFromMs || arrivals.length === 0) return;
    const counts = this.countsOf(call.route.name);
    const isHedged = arrivals.length > 1;
    counts.calls += 1;
    if (isHedged) counts.hedged += 1;
    const elapsedMs = now - call.arrivedAt + CALLER_DELAYS_MS;
    if (end.kind !== 'answer' || elapsedMs <= call.route.latencyObjectiveMs) return;
    counts.late += 1;
    if (isHedged) counts.lateHedged += 1;
    counts[causeOf(call, arrivals[0]!)] += 1;
  }

  private countsOf(kind: string): CausesOfKind {
    let counts = this.byKind.get(kind);
    if (counts === undefined) {
      const noCauses = Object.fromEntries(LATE_CAUSES.map((cause) => [cause, 0]));
      const zero = noCauses as Record<LateCause, number>;
      counts = { calls: 0, hedged: 0, late: 0, lateHedged: 0, ...zero };
      this.byKind.set(kind, counts);
    }
    return counts;
  }
}
