import { type CatalogChanges, type Ledger } from '../catalog';
import { type HostAddress, type Membership, type ProofResponse } from '../exchange';
import { type Supervisor } from '../lifecycle';
import { type EventSink } from '../logging';
import { type MetricsSink } from '../metrics';
import {
  before,
  type Clock,
  type Moment,
  type Random,
  runEvery,
  type SuspensionClock,
} from '../runtime';
import { type AnswerHistory, type CatalogSource } from '../source';

import { Confirmations } from './confirmations';
import { ExpiryLog } from './expiryLog';
import { type KeyValidity } from './keyValidity';
import { FRESHNESS_EVENTS } from './events';
import { FRESHNESS_METRICS } from './metrics';
import { OtherZoneRounds } from './otherZoneRounds';
import { type Proof } from './proof';
import { ProofRounds } from './proofRounds';
import { type ProofSchedule, proofSchedule } from './proofSchedule';
import { ProofSources } from './proofSources';
import { type ProofState } from './proofState';
import { ProofTable } from './proofTable';
import { StoreConfirmer } from './storeConfirmer';

const TICK_MS = 50;
// Keys are used this much shorter than allowed, for what the clocks and timers of a host are off.
const SAFETY_MARGIN_MS = 200;
// Older proofs are of no use to other hosts.
const MAX_PASSED_ON_AGE_MS = 60_000;
const SHORT_RETRY_AFTER_MS = 250;
const LONG_RETRY_AFTER_MS = 1000;
// Beyond this time without a proof the next one depends on the store's return.
const SHORT_EXPIRY_MS = 2000;

/** Dependencies of `Freshness`. */
export interface FreshnessParts {
  readonly clock: Clock;
  readonly suspensionClock: SuspensionClock;
  readonly random: Random;
  readonly tasks: Supervisor;
  readonly events: EventSink;
  readonly metrics: MetricsSink;
  readonly self: HostAddress;
  readonly ledger: Ledger;
  readonly source: Pick<CatalogSource, 'confirm'>;
  readonly membership: Pick<Membership, 'neighbours' | 'live'>;
  /** Whether keys may not be used later than `revocationMs` after their withdrawal. */
  readonly isStrict: boolean;
  readonly revocationMs: number;
  /** Time by which a change of the source is to be in use, in milliseconds. */
  readonly applyMs: number;
  /** Answers of the source to any host, to which those that prove something are added. */
  readonly answers: AnswerHistory;
  /** Whether this host reads the store for its zone. */
  readonly isReading: () => boolean;
  readonly sendRequest: (hosts: readonly HostAddress[], token: number) => void;
  readonly broadcastChanges: (changes: CatalogChanges) => void;
  /** Called when the source has a change of this revision that is not in a configuration. */
  readonly onOtherChange: (revision: number) => void;
}

/** Keeps the proof that the configuration of this host is the newest one, and asks for it. */
export class Freshness implements KeyValidity {
  private readonly proofs: ProofTable;

  private readonly rounds: ProofRounds;

  private readonly otherZoneRounds: OtherZoneRounds;

  private readonly sources: ProofSources;

  private readonly confirmations: Confirmations;

  private readonly expiryLog: ExpiryLog;

  private readonly schedule: ProofSchedule;

  /** Since when a proof has been needed; null without a configuration. */
  private neededSince: Moment | null = null;

  private hasLoggedClock = false;

  private cancelTimer: () => void = () => {};

  constructor(private readonly parts: FreshnessParts) {
    const { clock, suspensionClock, random, ledger, source, tasks, metrics, events } = parts;
    this.proofs = new ProofTable(suspensionClock, () => ledger.configurationRevision());
    this.sources = new ProofSources(parts);
    this.schedule = proofSchedule(parts.applyMs);
    const roundsParts = {
      ...{ clock, suspensionClock, random, sources: this.sources },
      send: (hosts: readonly HostAddress[], token: number) => {
        metrics.increment(FRESHNESS_METRICS.requests, hosts.length);
        parts.sendRequest(hosts, token);
      },
    };
    const { askAgeMs, otherZoneAgeMs } = this.schedule;
    this.rounds = new ProofRounds({ ...roundsParts, askAgeMs });
    this.otherZoneRounds = new OtherZoneRounds({ ...roundsParts, askAgeMs: otherZoneAgeMs });
    const confirmer = new StoreConfirmer({
      ...{ clock, suspensionClock, random, ledger, source },
      onProof: (proof) => this.addProof(proof),
      onOtherChange: (revision) => parts.onOtherChange(revision),
      onChanges: (changes) => parts.broadcastChanges(changes),
      onEnd: (outcome) => metrics.increment(FRESHNESS_METRICS.confirmations, 1, { outcome }),
    });
    this.confirmations = new Confirmations({
      ...{ clock, random, tasks, confirmer, schedule: this.schedule, sources: this.sources },
      otherZoneRounds: this.otherZoneRounds,
      isReading: () => parts.isReading(),
    });
    this.expiryLog = new ExpiryLog(events, parts.isStrict);
  }

  /** Starts to keep the proof. */
  start(): void {
    this.cancelTimer = runEvery(this.parts.clock, TICK_MS, () => this.refresh());
    // A host that gets its first configuration has no proof. The one that reads has one after the
    // change, from the answer that it applies.
    this.parts.ledger.onChange(() => {
      if (!this.parts.isReading()) this.refresh();
    });
  }

  /** Stops asking for proofs. */
  close(): void {
    this.cancelTimer();
  }

  mayUseKeys(): boolean {
    if (!this.parts.isStrict || this.parts.ledger.catalog().tenants === null) return true;
    return this.leftMs(this.proofs.ageMs()) > 0;
  }

  proofAgeMs(): number {
    return this.proofs.ageMs();
  }

  requestProof(): void {
    if (this.neededSince === null) return;
    this.rounds.askAllNow();
    if (this.parts.isReading()) this.confirmations.confirmSoon();
  }

  retryAfterMs(): number {
    const expiredMs = this.missingMs(this.proofs.ageMs()) - this.parts.revocationMs;
    return expiredMs < SHORT_EXPIRY_MS ? SHORT_RETRY_AFTER_MS : LONG_RETRY_AFTER_MS;
  }

  /** What operators see; null without a configuration. */
  state(): ProofState | null {
    if (this.parts.ledger.catalog().configuration === null) return null;
    const ageMs = this.proofs.ageMs();
    return {
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
      leftMs: Math.round(Math.max(0, this.leftMs(ageMs))),
      mayUseKeys: this.mayUseKeys(),
    };
  }

  /** Notes the start of a request for the catalog; call the result with what was applied of it. */
  beginRequest(): (changes: CatalogChanges) => void {
    const { suspensionClock, ledger } = this.parts;
    const moment = suspensionClock.now();
    const newestBefore = ledger.newestRevision();
    return ({ asOf }) => {
      const revision = ledger.configurationRevision();
      if (asOf >= newestBefore && revision > 0) this.addProof({ revision, moment });
    };
  }

  /** The response to a request of another host; null without a proof that can be of use to it. */
  answerRequest(token: number): ProofResponse | null {
    const proof = this.proofs.current();
    if (proof === null) return null;
    const ageMs = Math.ceil(this.parts.suspensionClock.elapsedSince(proof.moment));
    // The hosts that ask this one have no answer of the reader then.
    const isOld = ageMs > this.schedule.fallbackAgeMs;
    if (isOld && this.neededSince !== null && this.sources.readerRank() <= 1)
      this.rounds.askAllNow();
    if (ageMs > MAX_PASSED_ON_AGE_MS) return null;
    return { kind: 'proofResponse', token, revision: proof.revision, ageMs };
  }

  /** Uses the response of another host. */
  receiveResponse({ token, revision, ageMs }: ProofResponse, fromIp: string): void {
    const requestedAt =
      this.rounds.momentOf(token, fromIp) ?? this.otherZoneRounds.momentOf(token, fromIp);
    if (requestedAt === null) return;
    this.addProof({ revision, moment: before(requestedAt, ageMs) });
    this.rounds.noteResponse(fromIp);
  }

  // The source answered between the moment of a proof and now, so that it was available at that moment at the
  // earliest.
  private addProof(proof: Proof): void {
    const { clock, suspensionClock, answers } = this.parts;
    this.proofs.add(proof);
    const provenAt = clock.now() - suspensionClock.elapsedSince(proof.moment);
    if (Number.isFinite(provenAt)) answers.record(provenAt, provenAt);
  }

  private logClock(): void {
    const { suspensionClock, events } = this.parts;
    if (this.hasLoggedClock || suspensionClock.isSinceBootUsed()) return;
    this.hasLoggedClock = true;
    events.emit(FRESHNESS_EVENTS.sinceBootIgnored);
  }

  private refresh(): void {
    const { ledger, suspensionClock, metrics, isReading } = this.parts;
    if (ledger.catalog().configuration === null) {
      this.neededSince = null;
      return;
    }
    this.neededSince ??= suspensionClock.now();
    const ageMs = this.proofs.ageMs();
    this.logClock();
    if (Number.isFinite(ageMs)) metrics.gauge(FRESHNESS_METRICS.proofAge, ageMs);
    this.expiryLog.update(this.leftMs(this.missingMs(ageMs)) <= 0, ageMs);
    if (this.isActingReader(ageMs)) this.otherZoneRounds.refresh(ageMs);
    this.confirmations.confirmIfDue(ageMs, this.missingMs(ageMs));
    if (!isReading() || ageMs > this.schedule.fallbackAgeMs) this.rounds.askIfDue(ageMs);
  }

  /** Whether this host reads for its zone, or has a proof and would read next while the reader is silent. */
  private isActingReader(ageMs: number): boolean {
    if (this.parts.isReading()) return true;
    return this.rounds.lacksReader() && Number.isFinite(ageMs) && this.sources.readerRank() <= 1;
  }

  /** Age of the proof; before the first one, the time for which one has been needed. */
  private missingMs(ageMs: number): number {
    if (Number.isFinite(ageMs)) return ageMs;
    return this.neededSince === null
      ? 0
      : this.parts.suspensionClock.elapsedSince(this.neededSince);
  }

  private leftMs(ageMs: number): number {
    return this.parts.revocationMs - SAFETY_MARGIN_MS - ageMs;
  }
}
