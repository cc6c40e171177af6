import { type Catalog, type Target } from '../catalog';
import { type Clock } from '../runtime';

import { type FlightListener } from './flightListener';
import { type FlightTable } from './flightTable';
import { identityKey } from './identityKey';
import { type TargetKnowledge } from './targetKnowledge';
import { type TargetReport } from './targetReport';

/** Pace of a target of which nothing is known, in percent. */
export const USUAL_PACE = 100;

// Weight of one more result in the share of failures: about the last eight results count.
const FAILURE_WEIGHT = 0.12;
// A target that failed is given the benefit of the doubt again after some seconds.
const FAILURE_HALF_LIFE_MS = 2000;
// A report of load this old cannot be compared with the calls that are in flight now.
const COMPARABLE_MS = 20;
// Where hosts do not tell their calls, reports are all that shows the load of others; they travel in
// batches of up to 200 ms.
const UNTOLD_COMPARABLE_MS = 250;
// Calls that nobody told of, such as those of a host that is cut off, are assumed to run so long
// unless a later report shows them again.
const UNTOLD_LIFE_MS = 250;
// With this many slots left at a target, the other hosts must know of a call before they choose.
const FEW_SLOTS = 1;

/** Observations of targets by this host and by the others, the newest of each kind. */
export class KnowledgeTable {
  private readonly known = new Map<string, TargetKnowledge>();

  constructor(
    private readonly clock: Clock,
    private readonly flights: FlightTable,
    private readonly onFlight: FlightListener,
    /** Whether the hosts of this zone tell each other their calls. */
    private readonly areCallsTold: () => boolean = () => true,
  ) {}

  /** What is known of a target; undefined for one that was never announced. */
  get(id: string): TargetKnowledge | undefined {
    return this.known.get(id);
  }

  /** Follows the catalog: new targets begin unknown, restarted ones anew, missing ones go. */
  follow(catalog: Catalog): void {
    for (const target of catalog.targets.values()) {
      const held = this.known.get(target.id);
      if (held === undefined || held.startedAt !== target.startedAt) this.begin(target, held);
      else {
        held.slots = target.slots;
        held.coldUntil = Math.max(held.coldUntil, target.coldUntil);
      }
    }
    for (const id of this.known.keys()) if (!catalog.targets.has(id)) this.known.delete(id);
  }

  /** Takes what another host, a probe or an answer says of a target. */
  take(report: TargetReport): void {
    const held = this.known.get(report.target);
    if (held === undefined) return;
    const seenAt = this.clock.now() - report.age;
    const comparableMs = this.areCallsTold() ? COMPARABLE_MS : UNTOLD_COMPARABLE_MS;
    if (report.running !== null && report.age < comparableMs && seenAt > held.loadAt) {
      const told = held.ownInFlight + this.flights.at(held.key);
      held.untold = Math.max(0, report.running + (report.waiting ?? 0) - told);
      held.loadAt = seenAt;
    }
    if (report.pace !== null && seenAt > held.paceAt) {
      held.pace = report.pace;
      held.paceAt = seenAt;
    }
    if (report.coldLeft !== null)
      held.coldUntil = Math.max(held.coldUntil, seenAt + report.coldLeft);
    this.takeSight(held, report, seenAt);
  }

  /** Notes that a call of this host was sent to the target. */
  noteSent(id: string): void {
    const held = this.known.get(id);
    if (held === undefined) return;
    held.ownInFlight += 1;
    const room = held.slots - this.load(held);
    this.onFlight(held.key, held.ownInFlight, room, room <= FEW_SLOTS);
  }

  /** Notes that a call of this host has ended at the target. */
  noteEnded(id: string): void {
    const held = this.known.get(id);
    if (held === undefined) return;
    held.ownInFlight = Math.max(0, held.ownInFlight - 1);
    this.onFlight(held.key, held.ownInFlight, held.slots - this.load(held), false);
  }

  /** Calls that run or wait at a target at this moment, of all hosts. */
  load(held: TargetKnowledge): number {
    const life = this.areCallsTold() ? UNTOLD_LIFE_MS : UNTOLD_LIFE_MS + UNTOLD_COMPARABLE_MS;
    const untold = this.clock.now() - held.loadAt < life ? held.untold : 0;
    return held.ownInFlight + this.flights.at(held.key) + untold;
  }

  /** Share of recent calls that failed, with older failures forgiven. */
  failureShare(held: TargetKnowledge): number {
    const age = this.clock.now() - held.failureAt;
    return held.failureShare * 0.5 ** (age / FAILURE_HALF_LIFE_MS);
  }

  private takeSight(held: TargetKnowledge, report: TargetReport, seenAt: number): void {
    switch (report.sight) {
      case 'answer':
        held.soundAt = Math.max(held.soundAt, seenAt);
        this.noteResult(held, 0);
        break;
      case 'probe':
        held.soundAt = Math.max(held.soundAt, seenAt);
        held.isIll = false;
        break;
      case 'ill':
        held.isIll = true;
        break;
      case 'failure':
        this.noteResult(held, 1);
        break;
      case 'refusal':
        // The target lives, but looks emptier than others just because it runs nothing.
        held.soundAt = Math.max(held.soundAt, seenAt);
        this.noteResult(held, 1);
        break;
      default:
        held.lostAt = Math.max(held.lostAt, seenAt);
    }
  }

  private noteResult(held: TargetKnowledge, failure: number): void {
    const share = this.failureShare(held);
    held.failureShare = share + FAILURE_WEIGHT * (failure - share);
    held.failureAt = this.clock.now();
  }

  private begin(target: Target, previous: TargetKnowledge | undefined): void {
    const now = this.clock.now();
    this.known.set(target.id, {
      id: target.id,
      key: previous?.key ?? identityKey(target.id),
      service: target.service,
      slots: target.slots,
      startedAt: target.startedAt,
      untold: 0,
      loadAt: -Infinity,
      pace: USUAL_PACE,
      paceAt: -Infinity,
      ownInFlight: previous?.ownInFlight ?? 0,
      coldUntil: target.coldUntil,
      failureShare: 0,
      failureAt: now,
      soundAt: -Infinity,
      // A start that replaces another is first confirmed by a probe.
      lostAt: previous === undefined ? 0 : now,
      isIll: false,
    });
  }
}
