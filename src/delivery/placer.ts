import { type Target } from '../catalog';
import {
  isUnchecked,
  type LastSlotSlowdowns,
  type TargetStatistics,
  type WorkEstimates,
} from '../knowledge';
import {
  type CallRequirements,
  type Candidate,
  chooseTarget,
  hasSlack,
  mustYield,
  type Placement,
  type QueuePosition,
  SentWork,
  slackMarginMs,
  WaitQueue,
} from '../placement';
import { type Random } from '../runtime';

import { type IncomingCall } from './incomingCall';
import { PriorityRanks } from './priorityRanks';
import { type RankedCall } from './rankedCall';
import { type AdmissionParts, TargetAdmission } from './targetAdmission';
import { TargetPool } from './targetPool';

// The slowdown of a full target is sampled only while its pace is at most this.
const STEADY_PACE_PERCENT = 120;

/** Time of one answer, with the state of its target during the call. */
export interface ServiceTimeSample {
  readonly elapsedMs: number;
  /** Mean pace of the target while it ran the call, in percent of the usual. */
  readonly pace: number;
  /** Number of other calls at the target when the call was sent. */
  readonly loadBefore: number;
}

/** Dependencies of the placer. */
export interface PlacerParts extends AdmissionParts {
  readonly random: Random;
  readonly zone: string;
  readonly work: WorkEstimates;
  readonly lastSlotSlowdowns: LastSlotSlowdowns;
  /** Whether there is an idle connection to the target. */
  readonly isConnected: (target: Target) => boolean;
}

function workKeyOf(call: IncomingCall): string {
  return `${call.route.name} ${call.service}`;
}

// Whether all targets are cold, limited or not known to be up, so that those of other zones are needed.
// An overloaded zone does not pass its load on.
function findsNoTarget(placement: Placement): boolean {
  return placement.kind === 'send'
    ? placement.reason === 'onlyCold'
    : placement.reason !== 'overloaded';
}

/** Builds candidates from the state of the targets and places calls on them. */
export class Placer {
  readonly admission: TargetAdmission;

  private readonly pool: TargetPool;

  private readonly waitQueues = new Map<string, WaitQueue>();

  private ranks = new PriorityRanks(null);

  private readonly sentWork = new Map<string, SentWork>();

  constructor(private readonly parts: PlacerParts) {
    this.admission = new TargetAdmission(parts);
    this.pool = new TargetPool(parts.zone, parts.random, parts.preference);
  }

  /**
   * Decides where a call goes now; `used` are the targets that it has been sent to. With `mayWait`, a
   * call that would be late at every target waits.
   */
  place(call: IncomingCall, used: ReadonlySet<string>, mayWait: boolean): Placement {
    const catalog = this.parts.catalog();
    const mayGet = ({ id }: Target) => !used.has(id) && !this.parts.targetStates.isLeaving(id);
    const preferred = this.pool.preferred(catalog, call.service).filter(mayGet);
    const requirements = this.requirementsOf(call, mayWait);
    const placement = this.placeAmong(preferred, call, requirements);
    if (placement.kind === 'send' && placement.hasRoom) return placement;
    const others = this.pool.sampleOthers(catalog, call.service).filter(mayGet);
    const known = [...preferred, ...others];
    const wider = others.length === 0 ? placement : this.placeAmong(known, call, requirements);
    if (!findsNoTarget(wider)) return wider;
    const otherZones = this.pool.sampleOtherZones(catalog, call.service).filter(mayGet);
    if (otherZones.length === 0) return wider;
    return this.placeAmong([...known, ...otherZones], call, requirements);
  }

  private placeAmong(
    targets: readonly Target[],
    call: IncomingCall,
    requirements: CallRequirements,
  ): Placement {
    const candidates = targets.map((target) => this.toCandidate(target));
    const placement = chooseTarget(candidates, requirements, this.parts.random);
    if (placement.kind === 'send') {
      const urgentShare = this.sentWorkOf(call.service).shareAbove(requirements.rank);
      if (!mustYield(candidates, requirements, urgentShare)) return placement;
      return { kind: 'wait', reason: 'yielding', best: placement.target };
    }
    if (placement.kind !== 'wait') return placement;
    return this.placeCold(call, candidates, requirements) ?? placement;
  }

  /** Estimated service time of a call, in milliseconds. */
  usualWorkMs(call: IncomingCall): number {
    return this.parts.work.get(workKeyOf(call), call.route.latencyObjectiveMs);
  }

  /** Updates the estimates of service time and slowdown with the time of an answer. */
  recordAnswer(call: IncomingCall, target: Target, sample: ServiceTimeSample): void {
    const { elapsedMs, pace, loadBefore } = sample;
    if (loadBefore >= target.slots) return;
    if (loadBefore + 1 < target.slots || target.slots === 1) {
      this.parts.work.record(workKeyOf(call), call.route.latencyObjectiveMs, elapsedMs, pace);
    } else if (pace <= STEADY_PACE_PERCENT) {
      const usualMs = (this.usualWorkMs(call) * pace) / 100;
      this.parts.lastSlotSlowdowns.record(call.service, elapsedMs / usualMs);
    }
  }

  /** Whether a waiting call has time enough that a later start is not a late one. */
  hasSlack(call: IncomingCall): boolean {
    return hasSlack(this.requirementsOf(call, true));
  }

  /** Records that a call is sent to a target. */
  recordSent(call: IncomingCall): void {
    this.sentWorkOf(call.service).record(this.rankOf(call), this.usualWorkMs(call));
  }

  private sentWorkOf(service: string): SentWork {
    let sent = this.sentWork.get(service);
    if (sent === undefined) {
      sent = new SentWork(this.parts.clock);
      this.sentWork.set(service, sent);
    }
    return sent;
  }

  /** The wait queue of this host for a service. */
  waitQueueOf(service: string): WaitQueue {
    let queue = this.waitQueues.get(service);
    if (queue === undefined) {
      queue = new WaitQueue(this.parts.clock);
      this.waitQueues.set(service, queue);
    }
    return queue;
  }

  /** The sort order of a call in the wait queue of its service. */
  queueOrderOf(call: IncomingCall): QueuePosition {
    const objectiveAt = call.arrivedAt + call.route.latencyObjectiveMs;
    const rank = this.rankOf(call);
    const workMs = this.usualWorkMs(call);
    const lastSlotSlowdown = this.parts.lastSlotSlowdowns.get(call.service);
    return {
      ...{ call, rank, tenant: call.tenant?.name ?? null },
      latestStart: objectiveAt - workMs,
      slackUntil: objectiveAt - slackMarginMs({ workMs, lastSlotSlowdown, rank }),
    };
  }

  /** Records that a call, which has left the wait queue, is placed. */
  recordPlaced(call: IncomingCall): void {
    this.waitQueueOf(call.service).recordPlaced(this.queueOrderOf(call));
  }

  /** Whether a waiting call goes first because its rank or tenant was passed over too often. */
  isDue(call: IncomingCall): boolean {
    return this.waitQueueOf(call.service).isDue(call);
  }

  /** Rank of the call among those that its service may get: 0 most urgent, 1 least urgent. */
  rankOf(call: RankedCall): number {
    const { configuration } = this.parts.catalog();
    if (this.ranks.configuration !== configuration) this.ranks = new PriorityRanks(configuration);
    return this.ranks.rankOf(call);
  }

  /** The limit as a log field; JSON has no infinity. */
  private statedLimit(targetState: TargetStatistics): number | undefined {
    const limit = this.parts.targetStates.callLimit(targetState);
    return limit === Infinity ? undefined : limit;
  }

  /** The inputs of a placement, as log fields. */
  explain(call: IncomingCall, placement: Placement): Readonly<Record<string, unknown>> {
    const now = this.parts.clock.now();
    const { asOf, configuration } = this.parts.catalog();
    const common = {
      asOf,
      version: configuration?.version ?? null,
      objectiveLeftMs: Math.round(call.arrivedAt + call.route.latencyObjectiveMs - now),
      waiting: this.waitQueueOf(call.service).size(),
      isDue: this.isDue(call),
    };
    const target = placement.kind === 'send' ? placement.target : placement.best;
    const targetState = target === null ? undefined : this.parts.targetStates.get(target);
    if (targetState === undefined) return common;
    return {
      ...common,
      isPreferred: this.parts.preference.has(targetState.id),
      slots: targetState.slots,
      pace: targetState.pace,
      paceAge: Math.round(now - targetState.paceAt),
      load: this.parts.targetStates.load(targetState),
      callLimit: this.statedLimit(targetState),
      loadAge: Math.round(now - targetState.loadAt),
    };
  }

  private toCandidate(target: Target): Candidate {
    const { clock, targetStates, zone } = this.parts;
    const targetState = targetStates.get(target.id)!;
    const now = clock.now();
    return {
      target: target.id,
      isSameZone: target.zone === zone,
      isUsed: this.parts.preference.has(target.id),
      slots: target.slots,
      load: targetStates.load(targetState),
      pace: targetState.pace,
      paceAge: now - targetState.paceAt,
      failureShare: targetStates.failureShare(targetState),
      isUnhealthy: targetState.isUnhealthy,
      isConnected: this.parts.isConnected(target),
      isCold: targetState.coldUntil > now,
      limitedForMs: targetState.coldUntil > now ? 0 : this.admission.limitedForMs(target),
      isUnconfirmed: this.admission.isUnconfirmed(targetState),
      isUnchecked: isUnchecked(targetState),
    };
  }

  private requirementsOf(call: IncomingCall, mayWait: boolean): CallRequirements {
    const now = this.parts.clock.now();
    const { route } = call;
    return {
      workMs: this.usualWorkMs(call),
      objectiveMs: route.latencyObjectiveMs,
      leftMs: call.deadline - now,
      objectiveLeftMs: call.arrivedAt + route.latencyObjectiveMs - now,
      isIdempotent: route.isIdempotent,
      // A call whose turn it is gets the next slot, as the most urgent calls do.
      rank: this.isDue(call) ? 0 : this.rankOf(call),
      mayWait,
      hasCallAhead: this.waitQueueOf(call.service).hasCallAhead(this.queueOrderOf(call)),
      lastSlotSlowdown: this.parts.lastSlotSlowdowns.get(call.service),
    };
  }

  // A cold target receives only this host's share of its allowed rate. One that was lost and is not
  // confirmed healthy since may have restarted, so it receives nothing.
  private placeCold(
    call: IncomingCall,
    candidates: readonly Candidate[],
    requirements: CallRequirements,
  ): Placement | null {
    const cold = candidates.filter((candidate) => candidate.isCold && !candidate.isUnconfirmed);
    for (const candidate of cold) {
      if (requirements.leftMs < requirements.workMs) return null;
      const target = this.parts.catalog().targets.get(candidate.target)!;
      if (this.admission.limitedForMs(target) > 0) continue;
      return {
        kind: 'send',
        target: candidate.target,
        expectedMs: requirements.workMs * 2,
        reason: 'onlyCold',
        hasFreeSlot: false,
        hasRoom: false,
      };
    }
    return null;
  }
}
