import { type Catalog, type Configuration, type Route, type Target } from '../catalog';
import { type FullSlowdowns, type KnowledgeTable, type WorkEstimates } from '../knowledge';
import {
  type CallNeeds,
  type Candidate,
  chooseTarget,
  ColdAllowance,
  type Placement,
  type Waiting,
  WaitingLine,
} from '../placement';
import { type Clock, type Random } from '../runtime';

import { type IncomingCall } from './incomingCall';

// A target that worked at up to this pace during a call tells how quick it is when it is full.
const STEADY_PACE = 120;

/** What an answer tells of the work at its target. */
export interface AnswerSeen {
  readonly elapsedMs: number;
  /** Mean pace of the target while it ran the call, in percent of the usual. */
  readonly pace: number;
  /** Other calls at the target when the call was sent. */
  readonly loadBefore: number;
}

/** What the placer reads of its host. */
export interface PlacerParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly zone: string;
  readonly catalog: () => Catalog;
  readonly knowledge: KnowledgeTable;
  readonly work: WorkEstimates;
  readonly slowdowns: FullSlowdowns;
  /** Whether a free connection to the target is open. */
  readonly isConnected: (target: Target) => boolean;
  /** Calls a second that this host may send to a cold target whose service carries `rate`. */
  readonly coldShare: (target: Target, rate: number) => number;
}

function kindOf(call: IncomingCall): string {
  return `${call.route.name} ${call.service}`;
}

/** Turns what is known into candidates, and applies the decisions of placement to them. */
export class Placer {
  private readonly cold: ColdAllowance;

  private readonly lines = new Map<string, WaitingLine>();

  private ranks: { readonly of: Configuration | null; readonly byCall: Map<string, number> } = {
    of: null,
    byCall: new Map(),
  };

  constructor(private readonly parts: PlacerParts) {
    this.cold = new ColdAllowance(parts.clock);
  }

  /**
   * Decides where a call goes now; `used` are targets that it was sent to before. With `mayWait` a
   * call that would be late everywhere waits for a better moment.
   */
  place(call: IncomingCall, used: ReadonlySet<string>, mayWait: boolean): Placement {
    const targets = this.usable(call.service, used);
    const candidates = targets.map((target) => this.candidate(target));
    const needs = this.needsOf(call, mayWait);
    const placement = chooseTarget(candidates, needs, this.parts.random);
    if (placement.kind !== 'wait') return placement;
    return this.placeCold(call, candidates, needs) ?? placement;
  }

  /** Usual time of the work of a call, in milliseconds. */
  workOf(call: IncomingCall): number {
    return this.parts.work.get(kindOf(call), call.route.latencyObjectiveMs);
  }

  /** Takes the time of an answer of a target that held `loadBefore` other calls. */
  noteAnswer(call: IncomingCall, target: Target, seen: AnswerSeen): void {
    const { elapsedMs, pace, loadBefore } = seen;
    if (loadBefore >= target.slots) return;
    if (loadBefore + 1 < target.slots || target.slots === 1) {
      this.parts.work.note(kindOf(call), call.route.latencyObjectiveMs, elapsedMs, pace);
    } else if (pace <= STEADY_PACE) {
      const usualMs = (this.workOf(call) * pace) / 100;
      this.parts.slowdowns.note(call.service, elapsedMs / usualMs);
    }
  }

  /** The calls of this host that wait for a target of a service. */
  lineOf(service: string): WaitingLine {
    let line = this.lines.get(service);
    if (line === undefined) {
      line = new WaitingLine(this.parts.clock);
      this.lines.set(service, line);
    }
    return line;
  }

  /** The place of a call in the line of its service. */
  orderOf(call: IncomingCall): Omit<Waiting, 'wake'> {
    const objectiveAt = call.arrivedAt + call.route.latencyObjectiveMs;
    return { rank: this.rankOf(call), latestStart: objectiveAt - this.workOf(call) };
  }

  /** 0 for the most urgent priority among the routes of the call's service, 1 for the least. */
  rankOf(call: IncomingCall): number {
    const { configuration } = this.parts.catalog();
    if (this.ranks.of !== configuration) this.ranks = { of: configuration, byCall: new Map() };
    const key = `${call.route.priority} ${call.service}`;
    const held = this.ranks.byCall.get(key);
    if (held !== undefined) return held;
    const rank = this.findRank(call, configuration?.routes ?? []);
    this.ranks.byCall.set(key, rank);
    return rank;
  }

  private findRank(call: IncomingCall, routes: readonly Route[]): number {
    const priorities = new Set<number>();
    for (const route of routes) {
      if (route.parts.some((part) => part.service === call.service)) priorities.add(route.priority);
    }
    const ordered = [...priorities].sort((left, right) => left - right);
    const index = ordered.indexOf(call.route.priority);
    return index <= 0 ? 0 : index / (ordered.length - 1);
  }

  /** The inputs of a placement, for the log. */
  explain(call: IncomingCall, placement: Placement): Readonly<Record<string, unknown>> {
    const now = this.parts.clock.now();
    const common = {
      asOf: this.parts.catalog().asOf,
      objectiveLeftMs: Math.round(call.arrivedAt + call.route.latencyObjectiveMs - now),
      waiting: this.lineOf(call.service).size(),
    };
    const target = placement.kind === 'send' ? placement.target : placement.best;
    const held = target === null ? undefined : this.parts.knowledge.get(target);
    if (held === undefined) return common;
    return {
      ...common,
      slots: held.slots,
      pace: held.pace,
      paceAge: Math.round(now - held.paceAt),
      load: this.parts.knowledge.load(held),
      loadAge: Math.round(now - held.loadAt),
    };
  }

  private usable(service: string, used: ReadonlySet<string>): readonly Target[] {
    const catalog = this.parts.catalog();
    const targets = catalog.targetsByService.get(service) ?? [];
    return targets.filter(
      (target) =>
        target.state === 'ready' && !catalog.zonesOut.has(target.zone) && !used.has(target.id),
    );
  }

  private candidate(target: Target): Candidate {
    const { clock, knowledge, zone } = this.parts;
    const held = knowledge.get(target.id)!;
    const now = clock.now();
    return {
      target: target.id,
      isNear: target.zone === zone,
      slots: target.slots,
      load: knowledge.load(held),
      pace: held.pace,
      paceAge: now - held.paceAt,
      failureShare: knowledge.failureShare(held),
      isIll: held.isIll,
      isConnected: this.parts.isConnected(target),
      isCold: held.coldUntil > now,
      isUnconfirmed: held.lostAt > held.soundAt,
    };
  }

  private needsOf(call: IncomingCall, mayWait: boolean): CallNeeds {
    const now = this.parts.clock.now();
    const { route } = call;
    return {
      workMs: this.workOf(call),
      objectiveMs: route.latencyObjectiveMs,
      leftMs: call.deadline - now,
      objectiveLeftMs: call.arrivedAt + route.latencyObjectiveMs - now,
      isIdempotent: route.isIdempotent,
      rank: this.rankOf(call),
      mayWait,
      isBehind: this.lineOf(call.service).hasBefore(this.orderOf(call)),
      fullSlowdown: this.parts.slowdowns.get(call.service),
    };
  }

  // Cold targets get only what this host may send to them, and those that may have started again
  // are treated as cold.
  private placeCold(
    call: IncomingCall,
    candidates: readonly Candidate[],
    needs: CallNeeds,
  ): Placement | null {
    const service = this.parts.catalog().services.get(call.service);
    const rate = service?.coldRatePerSecond ?? 0;
    const cold = candidates.filter((candidate) => candidate.isCold && !candidate.isUnconfirmed);
    for (const candidate of cold) {
      if (needs.leftMs < needs.workMs) return null;
      const target = this.parts.catalog().targets.get(candidate.target)!;
      const share = this.parts.coldShare(target, rate);
      if (!this.cold.take(candidate.target, share)) continue;
      return {
        kind: 'send',
        target: candidate.target,
        expectedMs: needs.workMs * 2,
        reason: 'onlyCold',
        hasRoom: false,
      };
    }
    return null;
  }
}
