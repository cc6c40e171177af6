import { type Ledger } from '../catalog';
import { Exchange, type HostAddress, type QuotaMessage, type UdpLink } from '../exchange';
import { Freshness } from '../freshness';
import {
  identityKey,
  InFlightBroadcaster,
  InFlightTable,
  ReportBroadcaster,
  type TargetReport,
  TargetStatisticsTable,
  TargetSubsets,
} from '../knowledge';
import { type Supervisor } from '../lifecycle';
import { SuspensionClock } from '../runtime';
import {
  AnswerHistory,
  type CatalogSource,
  shortestExpiringOutage,
  type SourceState,
} from '../source';
import { CrashTable } from '../suspects';

import { type BalancerParts } from './balancerParts';
import { TargetConditionLog } from './beliefLog';
import { changeApplyMs } from './changeApplyMs';
import { confirmTargets } from './confirmTargets';
import { ipOf } from './ipOf';
import { pullCatalog } from './pullCatalog';

/** Dependencies of `FleetKnowledge` beside those of the balancer. */
export interface FleetKnowledgeSources {
  readonly ledger: Ledger;
  readonly link: UdpLink;
  readonly tasks: Supervisor;
  readonly sourceState: () => SourceState;
  /** Connection to the source that is used for confirmations only. */
  readonly confirmationSource: CatalogSource;
  readonly isStopping: () => boolean;
  /** Called when the source has a change of this revision that this host has not read. */
  readonly onOtherChange: (revision: number) => void;
  readonly onQuotaMessage: (message: QuotaMessage, fromIp: string) => void;
}

/** What this host knows of the targets and the other hosts, and tells them. */
export class FleetKnowledge {
  readonly targetStates: TargetStatisticsTable;

  readonly crashTable: CrashTable;

  readonly exchange: Exchange;

  /** Answers of the source to any host. */
  readonly answers: AnswerHistory;

  readonly freshness: Freshness;

  readonly subsets: TargetSubsets;

  private readonly inFlightCounts: InFlightTable;

  private readonly inFlightBroadcaster: InFlightBroadcaster;

  private readonly reportBroadcaster: ReportBroadcaster;

  private readonly targetConditions: TargetConditionLog;

  constructor(
    private readonly parts: BalancerParts,
    private readonly sources: FleetKnowledgeSources,
  ) {
    const { clock, settings, events } = parts;
    this.inFlightCounts = new InFlightTable(clock);
    this.targetStates = new TargetStatisticsTable(
      clock,
      this.inFlightCounts,
      (...change) => this.inFlightBroadcaster.recordCalls(...change),
      (key) => this.subsets.hasInFlightBroadcasts(key),
    );
    this.targetConditions = new TargetConditionLog(clock, this.targetStates, events);
    this.crashTable = new CrashTable(clock);
    this.exchange = this.makeExchange();
    this.answers = new AnswerHistory(shortestExpiringOutage(settings['target-renewal-ms']));
    this.freshness = this.makeFreshness();
    this.subsets = new TargetSubsets({
      hostId: settings['host-id'],
      zone: settings.zone,
      hosts: () => this.stayingZoneHosts(),
    });
    this.reportBroadcaster = new ReportBroadcaster(clock, {
      broadcastReports: (reports, isCrossZone) =>
        this.exchange.broadcastReports(reports, isCrossZone),
      neighbourCount: () => this.exchange.membership.neighbours().length,
      receiverCount: () =>
        this.subsets.isActive()
          ? this.subsets.otherSharers()
          : this.exchange.membership.neighbours().length,
    });
    this.inFlightBroadcaster = new InFlightBroadcaster(clock, settings['host-id'], {
      broadcastInFlightCounts: (counts, isCrossZone) =>
        this.exchange.broadcastInFlightCounts(counts, isCrossZone),
      neighbourCount: () => this.exchange.membership.neighbours().length,
      hasInFlightBroadcasts: (key) => this.subsets.hasInFlightBroadcasts(key),
    });
  }

  /** Takes over the targets of each changed catalog. */
  listenTo(ledger: Ledger): void {
    for (const part of [this.targetStates, this.subsets, this.targetConditions])
      ledger.onChange((catalog) => part.applyCatalog(catalog));
    ledger.onChange(({ targets }) =>
      this.reportBroadcaster.retainTargets((target) => targets.has(target)),
    );
  }

  /** Applies a report of this host and queues it for broadcast to the others. */
  applyAndBroadcast(report: TargetReport): void {
    const hasLimitChanged = this.targetStates.hasOtherLimit(report);
    this.applyReport(report);
    this.reportBroadcaster.enqueue(report, hasLimitChanged);
  }

  /** Removes and repeats in-flight counts; called periodically. */
  refreshInFlightCounts(): void {
    this.inFlightCounts.removeExpired();
    this.inFlightBroadcaster.refresh();
  }

  /** Calls `check` for the targets that this host uses and that may be lost; called periodically. */
  confirmTargets(check: (target: string) => void): void {
    confirmTargets(this.targetStates, this.subsets, check);
  }

  /** The hosts that share the rate of a target. */
  fleetSize(target: string) {
    const { membership } = this.exchange;
    const hostId = this.parts.settings['host-id'];
    const zoneHosts = this.subsets.sharersOf(target) ?? this.stayingZoneHosts();
    return { hostId, zoneHosts, maxLiveHostCount: membership.maxLiveHostCount() };
  }

  /** The hosts of this zone that are not leaving, and this one. */
  private stayingZoneHosts(): readonly string[] {
    const others = this.exchange.membership.neighbours().filter((host) => !host.isLeaving);
    return [...others.map((host) => host.id), this.parts.settings['host-id']];
  }

  private applyReport(report: TargetReport): void {
    this.targetStates.applyReport(report);
    this.targetConditions.update(report.target);
  }

  private ownAddress(): HostAddress {
    const { settings } = this.parts;
    const ip = ipOf(settings['control-address']);
    return { id: settings['host-id'], zone: settings.zone, ip };
  }

  private makeFreshness(): Freshness {
    const { clock, systemTimes, random, events, metrics, settings } = this.parts;
    const { ledger, tasks, sourceState, confirmationSource, onOtherChange } = this.sources;
    const { exchange, answers } = this;
    return new Freshness({
      ...{ clock, random, tasks, events, metrics, ledger, answers, onOtherChange },
      membership: exchange.membership,
      suspensionClock: new SuspensionClock(clock, systemTimes),
      self: this.ownAddress(),
      source: confirmationSource,
      isStrict: settings['strict-revocation'],
      revocationMs: settings['revocation-ms'],
      applyMs: changeApplyMs(settings),
      isReading: () => sourceState() === 'reading',
      sendRequest: (hosts, token) => exchange.requestProof(hosts, token),
      broadcastChanges: (changes) => exchange.broadcastChanges(changes),
    });
  }

  private makeExchange(): Exchange {
    const { clock, random, events, settings } = this.parts;
    const { ledger, link, tasks, sourceState, isStopping, onQuotaMessage } = this.sources;
    const self = this.ownAddress();
    const ownHostKey = identityKey(self.ip);
    return new Exchange({
      ...{ clock, random, link, tasks, events, self, ledger, sourceState, onQuotaMessage },
      zones: settings.zones,
      incarnation: random.integer(2 ** 30),
      seeds: () => this.parts.currentSettings().seeds.map(ipOf),
      isLeaving: isStopping,
      sharersOf: (target) => this.subsets.sharersOf(target),
      sharersOfKey: (key) => this.subsets.sharersOfKey(key),
      pull: (host, after) =>
        pullCatalog(
          { clock, events, port: settings['control-address'].split(':')[1]! },
          host,
          after,
        ),
      onReports: (reports) => {
        for (const report of reports) {
          this.applyReport(report);
          if (this.subsets.hasInFlightBroadcasts(identityKey(report.target)))
            this.reportBroadcaster.recordReceived(report);
        }
      },
      onInFlightCounts: (counts, shouldRebroadcast) => {
        const others = counts.filter(({ host }) => host !== ownHostKey);
        for (const count of others) this.inFlightCounts.apply(count);
        if (shouldRebroadcast) this.inFlightBroadcaster.rebroadcast(others);
      },
      answerProofRequest: (token) => this.freshness.answerRequest(token),
      onProofResponse: (response, fromIp) => this.freshness.receiveResponse(response, fromIp),
      notices: () => ({
        crashes: this.crashTable.histories(),
        leaving: this.targetStates.leavingTargets(),
      }),
      onNotices: ({ crashes, leaving }) => ({
        crashes: crashes.filter((history) => this.crashTable.apply(history)),
        leaving: leaving.filter((target) => this.targetStates.recordLeaving(target)),
      }),
    });
  }
}
