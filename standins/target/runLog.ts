import { type RunRecord, type RunState } from './runRecord';

/** Ground truth of the calls at a target stand-in, which tests and measurements check against. */
export class RunLog {
  /** All accepted calls, in order of arrival. */
  readonly runs: RunRecord[] = [];

  /** Calls that arrived while the target was cold and already at its cold limit. */
  coldOverruns = 0;

  /** Calls that were refused without running. */
  refused = 0;

  inFlight = 0;

  highestInFlight = 0;

  /** Records an accepted call. */
  begin(callId: string, key: string): RunRecord {
    const run: RunRecord = {
      callId,
      key,
      startedAt: performance.now(),
      endedAt: null,
      state: 'queued',
    };
    this.runs.push(run);
    this.inFlight += 1;
    this.highestInFlight = Math.max(this.highestInFlight, this.inFlight);
    return run;
  }

  /** Records the end of a call; returns false when it had ended before. */
  end(run: RunRecord, state: RunState): boolean {
    if (run.endedAt !== null) return false;
    run.endedAt = performance.now();
    run.state = state;
    this.inFlight -= 1;
    return true;
  }

  /** Number of runs that took effect, by key. */
  effects(): ReadonlyMap<string, number> {
    const effects = new Map<string, number>();
    for (const { key, state } of this.runs) {
      if (state === 'done') effects.set(key, (effects.get(key) ?? 0) + 1);
    }
    return effects;
  }
}
