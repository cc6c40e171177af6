import { type Catalog, type Target } from '../catalog';
import { type TargetStatistics } from '../knowledge';

import { type ProbeParts, ProbeTask } from './probeTask';

// Shortest time between two on-demand probes of a target that awaits confirmation.
const MIN_CONFIRM_INTERVAL_MS = 400;

interface ProbeEntry {
  readonly target: Target;
  readonly task: ProbeTask;
  nextCheckAt: number;
}

/** Which targets this host checks. */
export interface ProbeAssignment {
  /** Whether this host checks the target regularly. */
  isProber(target: Target): boolean;
  /** Whether this host checks the target when it may be unreachable. */
  isUser(target: Target): boolean;
}

function isUnconfirmed(targetState: TargetStatistics): boolean {
  return targetState.lostAt > targetState.confirmedHealthyAt;
}

/** Probe tasks for all targets of the catalog. */
export class ProbeTable {
  private readonly entries = new Map<string, ProbeEntry>();

  constructor(
    private readonly parts: ProbeParts,
    private readonly assignment: ProbeAssignment,
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
    }
    for (const [id, entry] of this.entries) {
      if (catalog.targets.has(id)) continue;
      entry.task.close();
      this.entries.delete(id);
    }
    this.assign();
    this.tick();
  }

  /** Assigns all targets anew; to be called after the hosts of the zone have changed. */
  assign(): void {
    for (const { target, task } of this.entries.values())
      task.setProber(this.assignment.isProber(target));
  }

  /** Probes unconfirmed targets; to be called regularly. */
  tick(): void {
    for (const [id, { target }] of this.entries)
      if (this.assignment.isUser(target)) this.confirmIfNeeded(id);
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
