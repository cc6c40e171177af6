import { type ProbeAnswer } from './probeAnswer';
import { type TargetState } from './targetState';

/** What each kind of probe answer says of its target. */
const JUDGES: Readonly<Record<ProbeAnswer['kind'], (state: TargetState, now: number) => void>> = {
  ready: (state, now) => {
    const returns = state.outage.end() || state.draining;
    state.draining = false;
    if (returns) state.ramp.turnCold(now);
  },
  draining: (state) => {
    state.draining = true;
  },
  failed: () => {},
  unreachable: (state, now) => {
    state.outage.failed(now, now);
    state.ramp.turnCold(now);
  },
};

/** Applies the answer of a probe to the state of its target. */
export function judgeProbe(state: TargetState, answer: ProbeAnswer, now: number): void {
  state.lastInformationAt = now;
  state.sawInstance(answer.instance, now);
  state.sawUtilization(answer.utilization, now);
  JUDGES[answer.kind](state, now);
}
