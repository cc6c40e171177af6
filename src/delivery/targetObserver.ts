import { type Catalog, type Target } from '../catalog';
import {
  type LeavingTarget,
  type ObservationKind,
  type TargetReport,
  type TargetStatisticsTable,
} from '../knowledge';
import { type EventSink } from '../logging';
import { type Clock } from '../runtime';

import { type AnswerHead } from './answerHead';
import { type TargetLoad } from './answerMetadata';
import { type AttemptResult } from './attemptResult';
import { type ConnectionErrorKind } from './connectionError';
import { type CrashGuard } from './crashGuard';
import { DELIVERY_EVENTS } from './events';
import { type Placer } from './placer';
import { type RunningAttempt } from './runningAttempt';

/** State of a target when a call was sent to it. */
export interface PriorTargetState {
  readonly pace: number;
  readonly load: number;
}

interface StatedByTarget {
  readonly load: TargetLoad | null;
  readonly coldLeft: number | null;
  readonly callLimit: number | null;
}

const NOTHING_STATED: StatedByTarget = { load: null, coldLeft: null, callLimit: null };

// Ends that say nothing about the target.
const OWN_ENDS: ReadonlySet<ConnectionErrorKind> = new Set(['aborted', 'withdrawn']);

/** Dependencies of the observer of targets. */
export interface TargetObserverParts {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly targetStates: TargetStatisticsTable;
  readonly placer: Placer;
  readonly crashes: CrashGuard;
  /** Receives the observations that this host makes of targets. */
  readonly onReport: (report: TargetReport) => void;
  readonly onUnexpectedClose: (target: string) => void;
  /** Called when an answer is the first to say that a target is leaving. */
  readonly onLeaving: (target: LeavingTarget) => void;
  readonly counters: { attemptTime(service: string, milliseconds: number): void };
}

/** Records what attempts show about the targets. */
export class TargetObserver {
  /** Targets whose unreadable limit was logged. */
  private readonly targetsWithUnreadableLimit = new Set<string>();

  constructor(private readonly parts: TargetObserverParts) {}

  /** Forgets the targets that are not in the catalog. */
  applyCatalog(catalog: Catalog): void {
    for (const target of this.targetsWithUnreadableLimit)
      if (!catalog.targets.has(target)) this.targetsWithUnreadableLimit.delete(target);
  }

  /** Records the head of an answer. */
  recordHead(attempt: RunningAttempt, head: AnswerHead, priorState: PriorTargetState): void {
    const { load, coldLeft } = head.metadata;
    const isForThisCall = head.metadata.callId === attempt.call.id;
    if (!isForThisCall || head.status === 421) return;
    this.recordWishes(attempt.target, head);
    const isNormalAnswer = head.status < 500;
    if (isNormalAnswer && attempt.sentAt !== null) {
      const answerTimeMs = this.parts.clock.now() - attempt.sentAt;
      const pace = ((load?.pace ?? priorState.pace) + priorState.pace) / 2;
      this.parts.placer.recordAnswer(attempt.call, attempt.target, {
        ...{ elapsedMs: answerTimeMs, pace },
        loadBefore: priorState.load,
      });
      this.parts.counters.attemptTime(attempt.call.service, answerTimeMs);
    }
    const failureObservation: ObservationKind = head.metadata.isNotRun ? 'refusal' : 'failure';
    const observation: ObservationKind = isNormalAnswer ? 'answer' : failureObservation;
    const callLimit = this.callLimitOf(attempt, head, isNormalAnswer);
    this.report(attempt.target, observation, { load, coldLeft, callLimit });
  }

  /** Records the end of an attempt. */
  recordEnd(attempt: RunningAttempt, result: AttemptResult): void {
    const { target, call } = attempt;
    const { crashes, events } = this.parts;
    if (result.end === 'answered') crashes.recordAnswered(call);
    if (result.error === null || OWN_ENDS.has(result.error)) return;
    events.emit(DELIVERY_EVENTS.targetLost, {
      call: call.id,
      target: target.id,
      error: result.error,
      reason: result.message,
    });
    // What this host lacks says nothing about the target.
    if (result.error === 'noSocket') return;
    this.report(target, result.end === 'notSent' ? 'lost' : 'failure', NOTHING_STATED);
    if (result.error === 'broken') {
      this.parts.onUnexpectedClose(target.id);
      crashes.recordBroken(attempt);
    }
  }

  private recordWishes(target: Target, { status, metadata }: AnswerHead): void {
    const { id } = target;
    const { targetStates, events } = this.parts;
    const wasQuiet = targetStates.isQuiet(id);
    const isNowLeaving = metadata.isLeaving && targetStates.recordLeaving(target);
    if (isNowLeaving) this.parts.onLeaving(target);
    if (status === 503 && metadata.quietMs !== null) targetStates.recordQuiet(id, metadata.quietMs);
    const { isLeaving, quietMs } = metadata;
    const isNews = isLeaving ? isNowLeaving : !wasQuiet && targetStates.isQuiet(id);
    if (isNews) events.emit(DELIVERY_EVENTS.targetQuiet, { target: id, isLeaving, quietMs });
  }

  // Only the answer of a call that was run shows that a limit has ended.
  private callLimitOf(
    { target, call }: RunningAttempt,
    { metadata }: AnswerHead,
    isNormalAnswer: boolean,
  ): number | null {
    if (metadata.callLimit === 'unreadable') {
      if (this.targetsWithUnreadableLimit.has(target.id)) return null;
      this.targetsWithUnreadableLimit.add(target.id);
      const fields = { call: call.id, target: target.id };
      this.parts.events.emit(DELIVERY_EVENTS.unreadableLimit, fields);
      return null;
    }
    return metadata.callLimit ?? (isNormalAnswer ? Infinity : null);
  }

  private report(
    target: Target,
    observation: ObservationKind,
    { load, coldLeft, callLimit }: StatedByTarget,
  ): void {
    const { running = null, waiting = null, pace = null } = load ?? {};
    this.parts.onReport({
      target: target.id,
      age: 0,
      running,
      waiting,
      pace,
      observation,
      coldLeft,
      callLimit,
    });
  }
}
