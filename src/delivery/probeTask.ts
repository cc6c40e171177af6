import { type Catalog, type Target } from '../catalog';
import { type KnowledgeTable, type TargetReport } from '../knowledge';
import { type Clock, waitUntil } from '../runtime';

import { type CallProtocol } from './callProtocol';
import { TargetProbe } from './targetProbe';

// Finer than the 500 ms in which the pace of a target changes; one host of a zone probes a target,
// so that the sum over all hosts stays below the operators' bound. Calls with long objectives are
// placed well by older knowledge.
const PROBE_SHARE_OF_OBJECTIVE = 0.18;
const SHORTEST_INTERVAL_MS = 45;
const LONGEST_INTERVAL_MS = 90;
// An answer that told the load within this share of the interval makes a probe needless.
const FRESH_SHARE = 2 / 3;

/** Time between the probes of a target whose calls have this latency objective, in milliseconds. */
export function probeInterval(objectiveMs: number): number {
  const wished = objectiveMs * PROBE_SHARE_OF_OBJECTIVE;
  return Math.min(LONGEST_INTERVAL_MS, Math.max(SHORTEST_INTERVAL_MS, wished));
}

/** What a task that probes one target reads of its host. */
export interface ProbeParts {
  readonly clock: Clock;
  readonly protocol: CallProtocol;
  readonly catalog: () => Catalog;
  readonly knowledge: KnowledgeTable;
  readonly onReport: (report: TargetReport) => void;
  readonly onProbe: () => void;
  readonly onOpened: () => void;
}

/** Probes one target: all the time while this host is its prober, else when it is asked to. */
export class ProbeTask {
  private isProber = false;

  private isBusy = false;

  private readonly probe: TargetProbe;

  constructor(
    private readonly target: Target,
    private readonly parts: ProbeParts,
  ) {
    this.probe = new TargetProbe(target, parts.protocol, parts.clock, parts.onOpened);
  }

  /** Begins or ends probing all the time. */
  setProber(isProber: boolean): void {
    if (isProber === this.isProber) return;
    this.isProber = isProber;
    if (isProber) void this.run();
  }

  /** Probes once, unless a probe is under way. */
  async check(): Promise<void> {
    const service = this.parts.catalog().services.get(this.target.service);
    if (service === undefined || this.isBusy) return;
    this.isBusy = true;
    this.parts.onProbe();
    const report = await this.probe.ask(service);
    this.isBusy = false;
    if (report !== null) this.parts.onReport(report);
  }

  /** Ends the task. */
  close(): void {
    this.isProber = false;
    this.probe.close();
  }

  private async run(): Promise<void> {
    const { clock } = this.parts;
    while (this.isProber) {
      const interval = probeInterval(this.objective());
      if (!this.isFresh(interval * FRESH_SHARE)) await this.check();
      await waitUntil(clock, clock.now() + interval);
    }
  }

  private objective(): number {
    return this.parts.catalog().objectives.get(this.target.service) ?? 0;
  }

  private isFresh(freshMs: number): boolean {
    const held = this.parts.knowledge.get(this.target.id);
    return held !== undefined && this.parts.clock.now() - held.paceAt < freshMs;
  }
}
