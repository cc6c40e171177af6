import { type Catalog, type Target } from '../catalog';
import { type LeavingTarget, type TargetStatisticsTable, type TargetReport } from '../knowledge';
import { type Supervisor } from '../lifecycle';
import { type Clock, waitUntil } from '../runtime';

import { type CallProtocol } from './callProtocol';
import { TargetProbe } from './targetProbe';

// The intervals are shorter than the 500 ms in which the pace of a target changes. One host per zone
// probes a target, which keeps the total probe rate below the operators' limit. Calls with long
// objectives tolerate older state, so their targets are probed less often.
const PROBE_SHARE_OF_OBJECTIVE = 0.18;
const MIN_PROBE_INTERVAL_MS = 45;
const MAX_PROBE_INTERVAL_MS = 400;
// A probe is skipped when the state of the target was updated within this share of the interval.
const FRESH_INTERVAL_SHARE = 2 / 3;

/** Probe interval in milliseconds of a target whose calls have this latency objective. */
export function probeInterval(objectiveMs: number): number {
  const desiredMs = objectiveMs * PROBE_SHARE_OF_OBJECTIVE;
  return Math.min(MAX_PROBE_INTERVAL_MS, Math.max(MIN_PROBE_INTERVAL_MS, desiredMs));
}

/** Dependencies of a probe task. */
export interface ProbeParts {
  readonly clock: Clock;
  readonly tasks: Supervisor;
  readonly protocol: CallProtocol;
  readonly catalog: () => Catalog;
  readonly targetStates: TargetStatisticsTable;
  readonly onReport: (report: TargetReport) => void;
  /** Called when a health check is the first to say that a target is leaving. */
  readonly onLeaving: (target: LeavingTarget) => void;
  readonly onProbe: () => void;
  readonly onOpened: () => void;
}

/** Probes one target: periodically while this host is its prober, otherwise on demand. */
export class ProbeTask {
  private isProber = false;

  /** Number of times that this host became the prober, each with a loop of its own. */
  private assignments = 0;

  private isProbing = false;

  private readonly probe: TargetProbe;

  constructor(
    private readonly target: Target,
    private readonly parts: ProbeParts,
  ) {
    const onLeaving = () => {
      if (parts.targetStates.recordLeaving(target)) parts.onLeaving(target);
    };
    this.probe = new TargetProbe(target, parts.protocol, parts.clock, parts.onOpened, onLeaving);
  }

  /** Starts or stops periodic probing. */
  setProber(isProber: boolean): void {
    if (isProber === this.isProber) return;
    this.isProber = isProber;
    if (!isProber) return;
    this.assignments += 1;
    const { assignments } = this;
    void this.parts.tasks.run(`checks of ${this.target.id}`, () =>
      this.probeContinuously(assignments),
    );
  }

  /** Probes once, unless a probe is already running. */
  async check(): Promise<void> {
    const service = this.parts.catalog().services.get(this.target.service);
    if (service === undefined || this.isProbing) return;
    this.isProbing = true;
    let report: TargetReport | null;
    try {
      this.parts.onProbe();
      report = await this.probe.send(service);
    } finally {
      this.isProbing = false;
    }
    if (report !== null) this.parts.onReport(report);
  }

  /** Stops the task and closes its connection. */
  close(): void {
    this.isProber = false;
    this.probe.close();
  }

  private async probeContinuously(assignment: number): Promise<void> {
    const { clock } = this.parts;
    while (this.isProber && assignment === this.assignments) {
      const interval = probeInterval(this.latencyObjectiveMs());
      if (!this.isFresh(interval * FRESH_INTERVAL_SHARE)) await this.check();
      await waitUntil(clock, clock.now() + interval);
    }
  }

  private latencyObjectiveMs(): number {
    return this.parts.catalog().objectiveMsByService.get(this.target.service) ?? 0;
  }

  private isFresh(freshMs: number): boolean {
    const targetState = this.parts.targetStates.get(this.target.id);
    return targetState !== undefined && this.parts.clock.now() - targetState.paceAt < freshMs;
  }
}
