import { type CatalogChanges, decodeChanges, encodeChanges } from '../catalog';
import { type InFlightCounts, isLargeZone, type TargetReport } from '../knowledge';
import { type Supervisor } from '../lifecycle';
import { sample } from '../runtime';

import { CatalogPuller } from './catalogPuller';
import { MAX_DATAGRAM_BYTES, decodeMessage, encodeMessage } from './datagramCodec';
import { type DatagramLink } from './datagramLink';
import { EXCHANGE_EVENTS } from './events';
import { FlightSender, receivedCounts } from './flightSender';
import { groupByHost } from './groupByHost';
import { type HostAddress } from './hostAddress';
import { Membership } from './membership';
import { type HostView, MembershipGossip } from './membershipGossip';
import {
  type Message,
  type ProofResponse,
  type QuotaMessage,
  type ReportsMessage,
} from './message';
import { NoticeGossip } from './noticeGossip';
import { type Notices } from './notices';
import { OtherZones } from './otherZones';

// A change that does not fit into a datagram is told to this many hosts of each other zone, since the
// reader of that zone may be unable to read it.
const OTHER_ZONE_NOTICE_HOSTS = 3;
// A host that has pulled a change tells this many neighbours that it holds it too.
const HOLDER_NOTICE_HOSTS = 8;

/** Dependencies and callbacks of `Exchange`. */
export interface ExchangeParts extends HostView {
  readonly link: DatagramLink;
  readonly tasks: Supervisor;
  /** Hosts of this zone that use a target; null when all of them do. */
  readonly sharersOf: (target: string) => readonly string[] | null;
  /** As `sharersOf`, by the key of the target's id. */
  readonly sharersOfKey: (key: number) => readonly string[] | null;
  /** Reads the changes after a revision from another host; null when the request fails. */
  readonly pull: (host: HostAddress, after: number) => Promise<CatalogChanges | null>;
  readonly onReports: (reports: readonly TargetReport[]) => void;
  /** With `shouldRebroadcast`, the counts are also sent on to the neighbours. */
  readonly onInFlightCounts: (
    counts: readonly InFlightCounts[],
    shouldRebroadcast: boolean,
  ) => void;
  /** The notices that this host knows. */
  readonly notices: () => Notices;
  /** Applies notices; returns those that were news. */
  readonly onNotices: (notices: Notices) => Notices;
  /** The proof of this host for a request with this token; null when it has none. */
  readonly answerProofRequest: (token: number) => ProofResponse | null;
  readonly onProofResponse: (response: ProofResponse, fromIp: string) => void;
  readonly onQuotaMessage: (message: QuotaMessage, fromIp: string) => void;
}

type MessageHandlers = {
  readonly [Kind in Message['kind']]: (
    message: Extract<Message, { kind: Kind }>,
    fromIp: string,
  ) => void;
};

/**
 * Gossips membership, catalog changes, target reports and in-flight counts between hosts by
 * datagram.
 */
export class Exchange {
  readonly membership: Membership;

  private readonly gossip: MembershipGossip;

  private readonly otherZones: OtherZones;

  private readonly flights: FlightSender;

  private readonly puller: CatalogPuller;

  private readonly noticeGossip: NoticeGossip;

  // A lookup table, as some hundred datagrams arrive each second.
  private readonly handlers: MessageHandlers = {
    heartbeat: (heartbeat, fromIp) => {
      this.gossip.receiveHeartbeat(heartbeat, fromIp);
      if (heartbeat.shouldReplyWithMembers) this.noticeGossip.sendAll(heartbeat.host[2]);
      this.puller.check();
    },
    digest: (digest, fromIp) => {
      this.gossip.receiveDigest(digest, fromIp);
      this.puller.check();
    },
    reports: (message) => {
      this.parts.onReports(message.reports);
      if (message.shouldRebroadcast) this.rebroadcast({ ...message, shouldRebroadcast: false });
    },
    flights: (message, fromIp) =>
      this.parts.onInFlightCounts(
        receivedCounts(message, fromIp),
        message.shouldRebroadcast === true,
      ),
    changes: (message) => {
      const changes = decodeChanges(message.text, this.parts.clock.now());
      if (changes === null) return;
      this.parts.ledger.apply(changes);
      if (message.shouldRebroadcast) this.rebroadcast({ ...message, shouldRebroadcast: false });
    },
    notices: (message) => {
      const news = this.parts.onNotices(message);
      if (message.isRepeated) this.noticeGossip.passOn(news);
      if (message.shouldRebroadcast) this.rebroadcast({ ...message, shouldRebroadcast: false });
    },
    proofRequest: ({ token }, fromIp) => {
      const response = this.parts.answerProofRequest(token);
      if (response !== null) this.send([fromIp], response);
    },
    proofResponse: (response, fromIp) => this.parts.onProofResponse(response, fromIp),
    quotaQuestion: (message, fromIp) => this.parts.onQuotaMessage(message, fromIp),
    quotaAnswer: (message, fromIp) => this.parts.onQuotaMessage(message, fromIp),
  };

  constructor(private readonly parts: ExchangeParts) {
    this.membership = new Membership(parts.clock, parts.self);
    const { clock, random, tasks, events, ledger, self, pull, zones } = parts;
    const { membership } = this;
    this.otherZones = new OtherZones({ clock, random, self, zones, membership });
    this.flights = new FlightSender({
      ...{ self, membership, otherZones: this.otherZones, sharersOfKey: parts.sharersOfKey },
      sendTo: (hosts, message) => this.sendTo(hosts, message),
    });
    const send = (ips: readonly string[], message: Message) => this.send(ips, message);
    this.gossip = new MembershipGossip({ ...parts, otherZones: this.otherZones, send }, membership);
    this.noticeGossip = new NoticeGossip({
      ...{ clock, random, membership, send },
      notices: parts.notices,
    });
    this.puller = new CatalogPuller({
      ...{ clock, random, tasks, events, ledger, pull, zone: self.zone, membership },
      onPulled: () => {
        const told = sample(random, membership.neighbours(), HOLDER_NOTICE_HOSTS);
        this.sendTo(told, this.gossip.heartbeat());
      },
    });
  }

  /** Starts sending heartbeats and receiving datagrams. */
  start(): void {
    this.parts.link.onDatagram((bytes, fromIp) => this.receive(bytes, fromIp));
    this.gossip.start();
    this.noticeGossip.start();
  }

  /** Stops the heartbeats; the caller closes the link. */
  close(): void {
    this.puller.close();
    this.noticeGossip.close();
    this.gossip.close();
  }

  /** Sends a heartbeat to the neighbours at once, after a change of this host's state. */
  announce(): void {
    this.sendTo(this.membership.neighbours(), this.gossip.heartbeat());
  }

  /** Sends newly read changes to the zone and to one host of each other zone. */
  broadcastChanges(changes: CatalogChanges): void {
    if (changes.records.length === 0) return;
    const text = encodeChanges(changes, this.parts.clock.now());
    const message: Message = { kind: 'changes', text };
    if (encodeMessage(message).length > MAX_DATAGRAM_BYTES) {
      // Too large for a datagram: other hosts pull the changes once a heartbeat has the newer
      // revision.
      this.announce();
      this.sendTo(this.otherZones.sample(OTHER_ZONE_NOTICE_HOSTS), this.gossip.heartbeat());
      return;
    }
    this.sendTo(this.membership.neighbours(), message);
    this.sendTo(this.otherZones.choose('changes'), { ...message, shouldRebroadcast: true });
  }

  /** Sends reports to the zone; with `isCrossZone`, to one host of each other zone instead. */
  broadcastReports(reports: readonly TargetReport[], isCrossZone: boolean): void {
    if (reports.length === 0) return;
    if (!isCrossZone && this.parts.sharersOf(reports[0]!.target) !== null) {
      this.sendToSharers(reports);
      return;
    }
    const message: ReportsMessage = { kind: 'reports', reports };
    if (isCrossZone)
      this.sendTo(this.otherZones.choose('reports'), { ...message, shouldRebroadcast: true });
    else this.sendTo(this.membership.neighbours(), message);
  }

  // Each host gets the reports of the targets that it uses.
  private sendToSharers(reports: readonly TargetReport[]): void {
    const byHost = groupByHost(reports, ({ target }) => this.parts.sharersOf(target) ?? []);
    for (const host of this.membership.neighbours()) {
      const used = byHost.get(host.id);
      if (used !== undefined) this.sendTo([host], { kind: 'reports', reports: used });
    }
  }

  /** Sends in-flight counts to the zone; with `isCrossZone`, to the other zones instead. */
  broadcastInFlightCounts(counts: readonly InFlightCounts[], isCrossZone: boolean): void {
    this.flights.broadcast(counts, isCrossZone);
  }

  /** Sends new notices to all hosts. */
  broadcastNotices(notices: Partial<Notices>): void {
    const message: Message = { kind: 'notices', crashes: [], leaving: [], ...notices };
    this.sendTo(this.membership.neighbours(), message);
    this.sendTo(this.otherZones.choose('notices'), { ...message, shouldRebroadcast: true });
  }

  /** Asks hosts for their newest proof; the responses repeat the token. */
  requestProof(hosts: readonly HostAddress[], token: number): void {
    this.sendTo(hosts, { kind: 'proofRequest', token });
  }

  /** Sends a message about quotas to one host. */
  sendQuotaMessage(ip: string, message: QuotaMessage): void {
    this.send([ip], message);
  }

  private receive(bytes: Buffer, fromIp: string): void {
    const message = decodeMessage(bytes);
    if (message === null) {
      this.parts.events.emit(EXCHANGE_EVENTS.unreadable, {
        from: fromIp,
        bytes: bytes.length,
      });
      return;
    }
    const handle = this.handlers[message.kind] as (received: Message, fromIp: string) => void;
    handle(message, fromIp);
  }

  private rebroadcast(message: Message): void {
    const neighbours = this.membership.neighbours();
    // Hosts of a large zone use its own targets, and need no reports of others.
    if (message.kind === 'reports' && isLargeZone(neighbours.length)) return;
    this.sendTo(neighbours, message);
  }

  private sendTo(hosts: readonly HostAddress[], message: Message): void {
    this.send(
      hosts.map((host) => host.ip),
      message,
    );
  }

  private send(ips: readonly string[], message: Message): void {
    if (ips.length === 0) return;
    const bytes = encodeMessage(message);
    for (const ip of ips) this.parts.link.send(ip, bytes);
  }
}
