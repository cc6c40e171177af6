import { type AttemptResult, type TargetSignals } from './attemptResult';
import { type Flight } from './flight';
import { type TargetState } from './targetState';

const STRAGGLER_FACTOR = 3;
const GOOD_FACTOR = 2;
const JUMP_FACTOR = 5;
const JUMPS_UNTIL_COLD = 3;
// Answer times of a few milliseconds vary by this much through scheduling alone.
const NOISE_MS = 5;
const FIRST_SERVER_ERROR = 500;

/** What the judgement of a result depends on besides the result. */
export interface Circumstances {
  readonly now: number;
  /** Median answer time of the service; 0 when not known. */
  readonly medianMs: number;
}

type Judge<Kind extends AttemptResult['kind']> = (
  state: TargetState,
  flight: Flight,
  result: Extract<AttemptResult, { kind: Kind }>,
  circumstances: Circumstances,
) => void;

function readSignals(state: TargetState, signals: TargetSignals, now: number): void {
  state.sawInstance(signals.instance, now);
  if (signals.draining) state.draining = true;
  state.sawUtilization(signals.utilization, now);
}

function within(milliseconds: number, factor: number, medianMs: number): boolean {
  return medianMs === 0 || milliseconds <= factor * medianMs + NOISE_MS;
}

function judgeJump(state: TargetState, flight: Flight, took: number, at: Circumstances): void {
  const low = flight.loadAtStart <= Math.max(1, state.target.slots / 2);
  if (!low) return;
  if (within(took, JUMP_FACTOR, at.medianMs)) {
    state.slowAtLowLoad = 0;
    return;
  }
  // Calls that one pause slowed down together count once.
  if ((flight.sentAt ?? flight.takenAt) < state.lastSlowAt) return;
  state.lastSlowAt = at.now;
  state.slowAtLowLoad += 1;
  if (state.slowAtLowLoad < JUMPS_UNTIL_COLD || !state.ramp.isWarm) return;
  state.slowAtLowLoad = 0;
  state.ramp.turnCold(at.now);
}

function judgeAnswerTime(state: TargetState, flight: Flight, at: Circumstances): void {
  const sentAt = flight.sentAt ?? flight.takenAt;
  const took = (flight.answeredAt ?? at.now) - sentAt;
  judgeJump(state, flight, took, at);
  state.times.add(took);
  state.ramp.answered(within(took, GOOD_FACTOR, at.medianMs), at.now);
  const quick = within(took, STRAGGLER_FACTOR, at.medianMs);
  const cleared = state.suspicion.ended(quick || !state.suspicion.active, sentAt, at.now);
  // The smoothed time still holds the slow answers; the good trials replace it.
  if (cleared) state.times.reset();
  if (state.times.settled && !within(state.times.usual, STRAGGLER_FACTOR, at.medianMs)) {
    state.suspicion.raise(state.times.usual / at.medianMs, at.now);
  }
}

function judgeBrokenConnection(state: TargetState, flight: Flight, now: number): void {
  state.lastInformationAt = now;
  state.outage.failed(flight.takenAt, now);
  state.ramp.turnCold(now);
}

function judgeUnanswered(state: TargetState, flight: Flight, at: Circumstances): void {
  if (flight.sentAt === null || flight.answeredAt !== null) return;
  state.times.addAtLeast(at.now - flight.sentAt);
}

/** What each kind of result says of its target. */
const JUDGES: { readonly [Kind in AttemptResult['kind']]: Judge<Kind> } = {
  answered: (state, flight, result, at) => {
    state.lastInformationAt = at.now;
    if (state.outage.end()) state.ramp.turnCold(at.now);
    readSignals(state, result.signals, at.now);
    if (result.status >= FIRST_SERVER_ERROR) {
      state.suspicion.ended(false, flight.sentAt ?? flight.takenAt, at.now);
    } else judgeAnswerTime(state, flight, at);
  },
  refused: (state, flight, result, at) => {
    state.lastInformationAt = at.now;
    readSignals(state, result.signals, at.now);
    state.suspicion.ended(false, flight.sentAt ?? flight.takenAt, at.now);
  },
  'connect-failed': (state, flight, _result, at) => judgeBrokenConnection(state, flight, at.now),
  'connection-lost': (state, flight, _result, at) => judgeBrokenConnection(state, flight, at.now),
  deadline: (state, flight, _result, at) => judgeUnanswered(state, flight, at),
  cancelled: (state, flight, _result, at) => judgeUnanswered(state, flight, at),
  'not-sent': () => {},
};

/** Applies the result of a call to the state of its target. */
export function judgeResult(
  state: TargetState,
  flight: Flight,
  result: AttemptResult,
  circumstances: Circumstances,
): void {
  const judge = JUDGES[result.kind] as Judge<AttemptResult['kind']>;
  judge(state, flight, result, circumstances);
}

/** True when a result is an error that a failing target may give far too quickly. */
export function isErrorAnswer(result: AttemptResult): boolean {
  return (
    result.kind === 'refused' || (result.kind === 'answered' && result.status >= FIRST_SERVER_ERROR)
  );
}

/** True when the target may still run a call whose connection was closed from here. */
export function isAbandoned(result: AttemptResult, flight: Flight): boolean {
  return flight.sentAt !== null && (result.kind === 'cancelled' || result.kind === 'deadline');
}
