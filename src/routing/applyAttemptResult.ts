import { type AttemptResult, type TargetSignals } from './attemptResult';
import { type InFlightCall } from './inFlightCall';
import { type TargetState } from './targetState';

const OUTLIER_FACTOR = 3;
const GOOD_ANSWER_FACTOR = 2;
const SLOWDOWN_FACTOR = 5;
const SLOW_ANSWERS_UNTIL_COLD = 3;
// Added to each latency threshold, since scheduling alone makes answer times of a few milliseconds
// vary by this much.
const LATENCY_JITTER_MS = 5;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Inputs to the evaluation of a result that are not part of it. */
export interface ResultContext {
  readonly now: number;
  /** Median answer time of the service; 0 when not known. */
  readonly medianMs: number;
}

type ResultHandler<Kind extends AttemptResult['kind']> = (
  state: TargetState,
  inFlightCall: InFlightCall,
  result: Extract<AttemptResult, { kind: Kind }>,
  context: ResultContext,
) => void;

function applySignals(state: TargetState, signals: TargetSignals, now: number): void {
  state.applyInstance(signals.instance, now);
  if (signals.draining) state.isDraining = true;
  state.applyUtilization(signals.utilization, now);
}

function isWithin(milliseconds: number, factor: number, medianMs: number): boolean {
  return medianMs === 0 || milliseconds <= factor * medianMs + LATENCY_JITTER_MS;
}

function detectSlowdown(
  state: TargetState,
  inFlightCall: InFlightCall,
  elapsedMs: number,
  context: ResultContext,
): void {
  const isLowLoad = inFlightCall.loadAtStart <= Math.max(1, state.target.slots / 2);
  if (!isLowLoad) return;
  if (isWithin(elapsedMs, SLOWDOWN_FACTOR, context.medianMs)) {
    state.slowAnswersAtLowLoad = 0;
    return;
  }
  // Calls that were in flight together and delayed by the same pause count once.
  if ((inFlightCall.sentAt ?? inFlightCall.acquiredAt) < state.lastSlowAt) return;
  state.lastSlowAt = context.now;
  state.slowAnswersAtLowLoad += 1;
  if (state.slowAnswersAtLowLoad < SLOW_ANSWERS_UNTIL_COLD || !state.warmUp.isWarm) return;
  state.slowAnswersAtLowLoad = 0;
  state.warmUp.turnCold(context.now);
}

function applyAnswerTime(
  state: TargetState,
  inFlightCall: InFlightCall,
  context: ResultContext,
): void {
  const sentAt = inFlightCall.sentAt ?? inFlightCall.acquiredAt;
  const elapsedMs = (inFlightCall.answeredAt ?? context.now) - sentAt;
  detectSlowdown(state, inFlightCall, elapsedMs, context);
  state.answerTime.add(elapsedMs);
  state.warmUp.recordAnswer(isWithin(elapsedMs, GOOD_ANSWER_FACTOR, context.medianMs), context.now);
  const isQuick = isWithin(elapsedMs, OUTLIER_FACTOR, context.medianMs);
  const wasCleared = state.outlierStatus.recordCallEnd(
    isQuick || !state.outlierStatus.isOutlier,
    sentAt,
    context.now,
  );
  // The average still contains the slow answers from before the trials.
  if (wasCleared) state.answerTime.reset();
  if (
    state.answerTime.hasEnoughSamples &&
    !isWithin(state.answerTime.value, OUTLIER_FACTOR, context.medianMs)
  ) {
    state.outlierStatus.markOutlier(state.answerTime.value / context.medianMs, context.now);
  }
}

function applyConnectionFailure(state: TargetState, inFlightCall: InFlightCall, now: number): void {
  state.lastObservedAt = now;
  state.outage.recordFailure(inFlightCall.acquiredAt, now);
  state.warmUp.turnCold(now);
}

function applyUnanswered(
  state: TargetState,
  inFlightCall: InFlightCall,
  context: ResultContext,
): void {
  if (inFlightCall.sentAt === null || inFlightCall.answeredAt !== null) return;
  state.answerTime.addLowerBound(context.now - inFlightCall.sentAt);
}

/** State change for each kind of result. */
const HANDLERS: { readonly [Kind in AttemptResult['kind']]: ResultHandler<Kind> } = {
  answered: (state, inFlightCall, result, context) => {
    state.lastObservedAt = context.now;
    if (state.outage.end()) state.warmUp.turnCold(context.now);
    applySignals(state, result.signals, context.now);
    if (result.status >= FIRST_SERVER_ERROR_STATUS) {
      state.outlierStatus.recordCallEnd(
        false,
        inFlightCall.sentAt ?? inFlightCall.acquiredAt,
        context.now,
      );
    } else applyAnswerTime(state, inFlightCall, context);
  },
  refused: (state, inFlightCall, result, context) => {
    state.lastObservedAt = context.now;
    applySignals(state, result.signals, context.now);
    state.outlierStatus.recordCallEnd(
      false,
      inFlightCall.sentAt ?? inFlightCall.acquiredAt,
      context.now,
    );
  },
  'connect-failed': (state, inFlightCall, _result, context) =>
    applyConnectionFailure(state, inFlightCall, context.now),
  'connection-lost': (state, inFlightCall, _result, context) =>
    applyConnectionFailure(state, inFlightCall, context.now),
  deadline: (state, inFlightCall, _result, context) =>
    applyUnanswered(state, inFlightCall, context),
  cancelled: (state, inFlightCall, _result, context) =>
    applyUnanswered(state, inFlightCall, context),
  'not-sent': () => {},
};

/** Updates the state of a target from the result of a call. */
export function applyAttemptResult(
  state: TargetState,
  inFlightCall: InFlightCall,
  result: AttemptResult,
  context: ResultContext,
): void {
  const handler = HANDLERS[result.kind] as ResultHandler<AttemptResult['kind']>;
  handler(state, inFlightCall, result, context);
}

/** True when a result is an error, which a failing target may return faster than an answer. */
export function isErrorAnswer(result: AttemptResult): boolean {
  return (
    result.kind === 'refused' ||
    (result.kind === 'answered' && result.status >= FIRST_SERVER_ERROR_STATUS)
  );
}

/** True when this host closed the connection and the target may still be running the call. */
export function isAbandoned(result: AttemptResult, call: InFlightCall): boolean {
  return call.sentAt !== null && (result.kind === 'cancelled' || result.kind === 'deadline');
}
