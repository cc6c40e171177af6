import { type Catalog, type Target } from '../catalog';
import { proberOf, type TargetStatistics } from '../knowledge';

import { type ProbeParts, ProbeTask } from './probeTask';

// Shortest time between two on-demand probes of a target that awaits confirmation.
const MIN_CONFIRM_INTERVAL_MS = 400;

interface ProbeEntry {
  readonly target: Target;
  readonly task: ProbeTask;
  nextCheckAt: number;
}

/** The hosts among which the targets are assigned for probing. */
export interface ProbingHosts {
  readonly hostId: string;
  /** The live hosts that may probe targets of a zone, this host included, in a stable order. */
  hostsOf(zone: string): readonly string[];
}

function isUnconfirmed(targetState: TargetStatistics): boolean {
  return targetState.lostAt > targetState.confirmedHealthyAt;
}

/** Probe tasks for all targets of the catalog. */
export class ProbeTable {
  private readonly entries = new Map<string, ProbeEntry>();

  private assignmentKey = '';

  constructor(
    private readonly parts: ProbeParts,
    private readonly hosts: ProbingHosts,
  ) {}

  /** Starts and stops tasks as targets are added, restarted and removed. */
  applyCatalog(catalog: Catalog): void {
    for (const target of catalog.targets.values()) {
      const entry = this.entries.get(target.id);
      const isSame =
        entry?.target.address === target.address && entry.target.startedAt === target.startedAt;
      if (isSame) continue;
      entry?.task.close();
      const task = new ProbeTask(target, this.parts);
      this.entries.set(target.id, { target, task, nextCheckAt: 0 });
      this.assignmentKey = '';
    }
    for (const [id, entry] of this.entries) {
      if (catalog.targets.has(id)) continue;
      entry.task.close();
      this.entries.delete(id);
    }
    this.tick();
  }

  /** Reassigns targets to the live hosts and probes unconfirmed targets; to be called regularly. */
  tick(): void {
    const zones = new Map<string, readonly string[]>();
    for (const { target } of this.entries.values()) {
      if (!zones.has(target.zone)) zones.set(target.zone, this.hosts.hostsOf(target.zone));
    }
    const key = [...zones].map(([zone, hosts]) => `${zone}:${hosts.join()}`).join(' ');
    if (key !== this.assignmentKey) {
      this.assignmentKey = key;
      for (const { target, task } of this.entries.values()) {
        task.setProber(proberOf(target, zones.get(target.zone)!) === this.hosts.hostId);
      }
    }
    for (const id of this.entries.keys()) this.confirmIfNeeded(id);
  }

  /** Probes a target that may be unreachable, limited to one probe per interval. */
  check(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    const now = this.parts.clock.now();
    if (now < entry.nextCheckAt) return;
    entry.nextCheckAt = now + MIN_CONFIRM_INTERVAL_MS;
    void entry.task.check();
  }

  /** Stops all tasks. */
  close(): void {
    for (const entry of this.entries.values()) entry.task.close();
    this.entries.clear();
  }

  private confirmIfNeeded(id: string): void {
    const targetState = this.parts.targetStates.get(id);
    if (targetState !== undefined && isUnconfirmed(targetState)) this.check(id);
  }
}
