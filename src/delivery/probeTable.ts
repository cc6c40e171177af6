import { type Catalog, type Target } from '../catalog';
import { proberOf, type TargetKnowledge } from '../knowledge';

import { type ProbeParts, ProbeTask } from './probeTask';

// Hosts that need to know of a target that nobody else confirms probe it at most this often.
const CHECK_INTERVAL_MS = 400;

interface Held {
  readonly target: Target;
  readonly task: ProbeTask;
  nextCheck: number;
}

/** Who probes. */
export interface ProbingHosts {
  readonly hostId: string;
  /** This host and the live ones of a zone, in a stable order. */
  hostsOf(zone: string): readonly string[];
}

function isUnconfirmed(known: TargetKnowledge): boolean {
  return known.lostAt > known.soundAt;
}

/** The probe tasks of all targets of the catalog. */
export class ProbeTable {
  private readonly tasks = new Map<string, Held>();

  private assignedFor = '';

  constructor(
    private readonly parts: ProbeParts,
    private readonly hosts: ProbingHosts,
  ) {}

  /** Begins and ends tasks as targets come, start again and go. */
  follow(catalog: Catalog): void {
    for (const target of catalog.targets.values()) {
      const held = this.tasks.get(target.id);
      const isSame =
        held?.target.address === target.address && held.target.startedAt === target.startedAt;
      if (isSame) continue;
      held?.task.close();
      const task = new ProbeTask(target, this.parts);
      this.tasks.set(target.id, { target, task, nextCheck: 0 });
      this.assignedFor = '';
    }
    for (const [id, held] of this.tasks) {
      if (catalog.targets.has(id)) continue;
      held.task.close();
      this.tasks.delete(id);
    }
    this.turn();
  }

  /** Follows who is alive, and probes targets that wait for a confirmation; called regularly. */
  turn(): void {
    const zones = new Map<string, readonly string[]>();
    for (const { target } of this.tasks.values()) {
      if (!zones.has(target.zone)) zones.set(target.zone, this.hosts.hostsOf(target.zone));
    }
    const key = [...zones].map(([zone, hosts]) => `${zone}:${hosts.join()}`).join(' ');
    if (key !== this.assignedFor) {
      this.assignedFor = key;
      for (const { target, task } of this.tasks.values()) {
        task.setProber(proberOf(target, zones.get(target.zone)!) === this.hosts.hostId);
      }
    }
    for (const id of this.tasks.keys()) this.confirm(id);
  }

  /** Probes a target that may be gone, at most once in a while. */
  check(id: string): void {
    const held = this.tasks.get(id);
    if (held === undefined) return;
    const now = this.parts.clock.now();
    if (now < held.nextCheck) return;
    held.nextCheck = now + CHECK_INTERVAL_MS;
    void held.task.check();
  }

  /** Ends all tasks. */
  close(): void {
    for (const held of this.tasks.values()) held.task.close();
    this.tasks.clear();
  }

  private confirm(id: string): void {
    const known = this.parts.knowledge.get(id);
    if (known !== undefined && isUnconfirmed(known)) this.check(id);
  }
}
