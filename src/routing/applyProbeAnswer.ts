import { type ProbeAnswer } from './probeAnswer';
import { type TargetState } from './targetState';

/** State change for each kind of probe answer. */
const HANDLERS: Readonly<Record<ProbeAnswer['kind'], (state: TargetState, now: number) => void>> = {
  ready: (state, now) => {
    const isReturning = state.outage.end() || state.isDraining;
    state.isDraining = false;
    if (isReturning) state.warmUp.turnCold(now);
  },
  draining: (state) => {
    state.isDraining = true;
  },
  failed: () => {},
  unreachable: (state, now) => {
    state.outage.recordFailure(now, now);
    state.warmUp.turnCold(now);
  },
};

/** Updates the state of a target from the answer to a probe. */
export function applyProbeAnswer(state: TargetState, answer: ProbeAnswer, now: number): void {
  state.lastObservedAt = now;
  state.applyInstance(answer.instance, now);
  state.applyUtilization(answer.utilization, now);
  HANDLERS[answer.kind](state, now);
}
