import { type InheritedState, type OwnedTarget } from '../fleet';
import { type Target } from '../sheet';

import { AnswerTimes } from './answerTimes';
import { ColdRamp } from './coldRamp';
import { type Flight } from './flight';
import { Outage } from './outage';
import { Suspicion } from './suspicion';
import { type TargetDescription } from './targetDescription';

const LOAD_REPORT_MS = 1000;
const HIGH_UTILIZATION = 0.9;
const OLD_CALLS_OF_STRAGGLER = 2;
const STRAGGLER_AGE_FACTOR = 4;
// Answer times of a few milliseconds vary by this much through scheduling alone.
const NOISE_MS = 5;

/** What the owner of a target knows of it. */
export class TargetState {
  readonly flights = new Set<Flight>();

  readonly ramp = new ColdRamp();

  readonly suspicion = new Suspicion();

  readonly outage = new Outage();

  readonly times = new AnswerTimes();

  /** Slots kept busy after quick errors. */
  held = 0;

  /** False after another host has become the owner; calls in flight still count. */
  isOwned = true;

  /** True since the target itself said that it drains. */
  draining = false;

  /** True while the host list says that the target is leaving. */
  listedAsLeaving = false;

  /** Consecutive answers at low load that took far longer than the median. */
  slowAtLowLoad = 0;

  /** Monotonic time of the last answer that counted as such. */
  lastSlowAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time of the last answer, probe or failure. */
  lastInformationAt = Number.NEGATIVE_INFINITY;

  private instance = '';

  private loadReportUntil = 0;

  private inherited: InheritedState | null = null;

  constructor(
    public owned: OwnedTarget,
    now: number,
  ) {
    this.configure();
    this.ramp.turnCold(now);
    this.inherit(owned.inherited, now);
  }

  get target(): Target {
    return this.owned.target;
  }

  /** Takes over what a new view says of the target. */
  adopt(owned: OwnedTarget, now: number): void {
    const returns = owned.inService && !this.owned.inService;
    const regained = !this.isOwned;
    const inUse = !regained && now >= this.owned.usableFrom;
    const moved =
      owned.target.address !== this.target.address || owned.target.port !== this.target.port;
    this.owned = owned;
    this.isOwned = true;
    this.configure();
    if (regained) this.forget();
    if (returns || regained || moved) this.ramp.turnCold(now);
    // A release that arrives after the first call reserves slots but tells nothing new of the
    // target; one that the view no longer names stays in force.
    if (inUse || returns) this.inherited = owned.inherited ?? this.inherited;
    else if (regained || owned.inherited !== null) this.inherit(owned.inherited, now);
  }

  /** Calls that may be in flight at the same time, load reports included. */
  limit(now: number): number {
    const { limit } = this.ramp;
    return now < this.loadReportUntil ? Math.ceil(limit / 2) : limit;
  }

  /** Slots in use: calls in flight, slots held back, and calls of an earlier owner. */
  load(now: number): number {
    const reserved =
      this.inherited !== null && now < this.inherited.reservedUntil
        ? this.inherited.callsInFlight
        : 0;
    return this.flights.size + this.held + reserved;
  }

  get isLeaving(): boolean {
    return this.draining || this.listedAsLeaving;
  }

  /** True when the target may be given calls at all. */
  isOpen(now: number): boolean {
    return this.isOwned && this.owned.inService && now >= this.owned.usableFrom && !this.isLeaving;
  }

  /** True when another suspect call runs here. */
  runsSuspect(): boolean {
    for (const flight of this.flights) if (flight.call.suspect !== null) return true;
    return false;
  }

  /** Number of calls that have left for the target. */
  sentCalls(): number {
    let sent = 0;
    for (const flight of this.flights) if (flight.sentAt !== null) sent += 1;
    return sent;
  }

  /** Suspects the target when calls in flight are far older than the median allows. */
  judgeAges(now: number, medianMs: number): void {
    if (medianMs === 0 || this.suspicion.active) return;
    const age = STRAGGLER_AGE_FACTOR * medianMs + NOISE_MS;
    let old = 0;
    for (const flight of this.flights) {
      const { sentAt, answeredAt } = flight;
      if (sentAt === null || answeredAt !== null || sentAt < this.suspicion.since) continue;
      if (now - sentAt > age) old += 1;
      if (old >= OLD_CALLS_OF_STRAGGLER) {
        this.suspicion.raise((now - sentAt) / medianMs, now);
        return;
      }
    }
  }

  /** Learns the identity of the target's process; a new one makes the target cold. */
  sawInstance(instance: string | null, now: number): void {
    if (instance === null || instance === this.instance) return;
    const restarted = this.instance !== '';
    this.instance = instance;
    if (!restarted) return;
    this.draining = false;
    this.times.reset();
    this.ramp.turnCold(now);
  }

  /** A high reported load halves the limit for a second; a low one changes nothing. */
  sawUtilization(utilization: number | null, now: number): void {
    if (utilization !== null && utilization >= HIGH_UTILIZATION) {
      this.loadReportUntil = now + LOAD_REPORT_MS;
    }
  }

  /**
   * State for the next owner. Once the target is owned elsewhere, calls that have not left cannot do so
   * any more and are not counted: such a call is routed again, and would wait at the next owner for the
   * slot that it holds here.
   */
  describe(now: number): TargetDescription {
    const counted = [...this.flights].filter(({ sentAt }) => this.isOwned || sentAt !== null);
    const lastDeadline = Math.max(0, ...counted.map(({ call }) => call.deadline));
    const reserved = this.inherited !== null && now < this.inherited.reservedUntil;
    const inherited = reserved ? this.inherited!.callsInFlight : 0;
    return {
      callsInFlight: counted.length + this.held + inherited,
      lastDeadline: reserved ? Math.max(lastDeadline, this.inherited!.reservedUntil) : lastDeadline,
      limit: this.ramp.limit,
      coldUntil: this.ramp.coldUntil > now ? this.ramp.coldUntil : 0,
      instance: this.instance,
    };
  }

  private configure(): void {
    const { slots, connections, cold_limit: coldLimit, cold_ms: coldMs } = this.target;
    // Half of the connections are left to the next owner for a handover.
    const most = Math.max(1, Math.floor(connections / 2));
    this.ramp.configure(Math.min(slots, most), coldLimit, coldMs);
  }

  private inherit(state: InheritedState | null, now: number): void {
    this.inherited = state;
    if (state === null) return;
    this.ramp.inherit(state, now);
    this.instance = state.instance;
  }

  private forget(): void {
    this.times.reset();
    this.suspicion.clear(0);
    this.outage.end();
    this.draining = false;
    this.instance = '';
  }
}
