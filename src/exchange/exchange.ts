import { type CatalogChanges, decodeChanges, encodeChanges, type Ledger } from '../catalog';
import { identityKey, type InFlightCounts, isLargeZone, type TargetReport } from '../knowledge';
import { type EventSink } from '../logging';
import { type Clock, type Random, rendezvousChoice, runEvery } from '../runtime';
import { type SourceState } from '../source';

import { CatalogPuller } from './catalogPuller';
import { MAX_DATAGRAM_BYTES, decodeMessage, encodeMessage } from './datagramCodec';
import { type DatagramLink } from './datagramLink';
import { EXCHANGE_EVENTS } from './events';
import { type HostAddress } from './hostAddress';
import { type KnownHost } from './knownHost';
import { heartbeatInterval, Membership } from './membership';
import {
  type CrashNotice,
  type Digest,
  type InFlightCountsMessage,
  type Heartbeat,
  type Message,
  type ReportsMessage,
} from './message';

// The delegate of a zone sends a short member list to one host of each other zone, which
// rebroadcasts it to its neighbours.
const DELEGATE_INTERVAL_MS = 500;
const MAX_CROSS_ZONE_MEMBERS = 5;
// Seeds are contacted every JOIN_INTERVAL_MS while no other host is live, both at the start and
// when all known hosts are silent, and otherwise every SEED_INTERVAL_MS while a zone has no live
// host.
const JOIN_INTERVAL_MS = 100;
const SEED_INTERVAL_MS = 1000;
// A host that has pulled a change tells this many neighbours that it holds it too.
const HOLDER_NOTICE_HOSTS = 8;

/** Dependencies and callbacks of `Exchange`. */
export interface ExchangeParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly link: DatagramLink;
  readonly ledger: Ledger;
  readonly events: EventSink;
  readonly self: HostAddress;
  readonly incarnation: number;
  /** All zones of the region, including this host's own. */
  readonly zones: readonly string[];
  /** IP addresses at which other hosts may be reached at the start. */
  readonly seeds: () => readonly string[];
  readonly sourceState: () => SourceState;
  readonly isLeaving: () => boolean;
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
  readonly onCrash: (notice: CrashNotice) => void;
}

// A heartbeat with this many members still fits into a datagram of common size.
const MAX_HEARTBEAT_MEMBERS = 24;
// A host that replies with members lists this many of each zone other than that of the receiver.
const OTHER_ZONE_MEMBERS = 4;
// Hosts of a large zone send digests to this many neighbours at this interval.
const DIGEST_FANOUT = 3;
const DIGEST_INTERVAL_MS = 500;
const MAX_DIGEST_MEMBERS = 100;
// Interval at which a host of a large zone sends some members to one host of each other zone.
const LARGE_ZONE_DELEGATE_INTERVAL_MS = 3000;
const MIN_MEMBERS_REQUEST_INTERVAL_MS = 300;
// A neighbour that counts this many times the hosts that this host knows can list the others.
const ZONE_SIZE_GAP_FACTOR = 1.1;

type MessageHandlers = {
  readonly [Kind in Message['kind']]: (
    message: Extract<Message, { kind: Kind }>,
    fromIp: string,
  ) => void;
};

function addressOf(host: HostAddress): readonly [string, string, string] {
  return [host.id, host.zone, host.ip];
}

function groupByHost<Item>(
  items: readonly Item[],
  hostsOf: (item: Item) => readonly string[],
): ReadonlyMap<string, readonly Item[]> {
  const byHost = new Map<string, Item[]>();
  for (const item of items) {
    for (const host of hostsOf(item)) {
      const known = byHost.get(host);
      if (known === undefined) byHost.set(host, [item]);
      else known.push(item);
    }
  }
  return byHost;
}

/**
 * Gossips membership, catalog changes, target reports and in-flight counts between hosts by
 * datagram.
 */
export class Exchange {
  readonly membership: Membership;

  private readonly cancelTimers: (() => void)[] = [];

  private readonly puller: CatalogPuller;

  private nextMembersRequestAt = 0;

  // A lookup table, as some hundred datagrams arrive each second.
  private readonly handlers: MessageHandlers = {
    heartbeat: (heartbeat, fromIp) => this.receiveHeartbeat(heartbeat, fromIp),
    digest: (digest, fromIp) => this.receiveDigest(digest, fromIp),
    reports: (message) => {
      this.parts.onReports(message.reports);
      if (message.shouldRebroadcast) this.rebroadcast({ ...message, shouldRebroadcast: false });
    },
    flights: ({ counts, shouldRebroadcast }) =>
      this.parts.onInFlightCounts(counts, shouldRebroadcast === true),
    changes: (message) => {
      const changes = decodeChanges(message.text, this.parts.clock.now());
      if (changes === null) return;
      this.parts.ledger.apply(changes);
      if (message.shouldRebroadcast) this.rebroadcast({ ...message, shouldRebroadcast: false });
    },
    crash: (notice) => {
      this.parts.onCrash(notice);
      if (notice.shouldRebroadcast) this.rebroadcast({ ...notice, shouldRebroadcast: false });
    },
  };

  constructor(private readonly parts: ExchangeParts) {
    this.membership = new Membership(parts.clock, parts.self);
    const { clock, random, ledger, self, pull } = parts;
    this.puller = new CatalogPuller({
      ...{ clock, random, ledger, pull, zone: self.zone, membership: this.membership },
      onPulled: () =>
        this.sendTo(
          this.sample(this.membership.neighbours(), HOLDER_NOTICE_HOSTS),
          this.heartbeat(),
        ),
    });
  }

  /** Starts sending heartbeats and receiving datagrams. */
  start(): void {
    const { clock, link } = this.parts;
    link.onDatagram((bytes, fromIp) => this.receive(bytes, fromIp));
    let nextHeartbeatAt = 0;
    let nextDelegateHeartbeatAt = 0;
    let nextSeedContactAt = 0;
    this.cancelTimers.push(
      runEvery(clock, JOIN_INTERVAL_MS, () => {
        const now = clock.now();
        const neighbours = this.membership.neighbours();
        if (now >= nextSeedContactAt) {
          const isAlone = this.membership.live().length === 0;
          this.contactSeeds(isAlone);
          this.contactSilentHost();
          nextSeedContactAt = now + (isAlone ? JOIN_INTERVAL_MS : SEED_INTERVAL_MS);
        }
        if (now >= nextHeartbeatAt) {
          nextHeartbeatAt = now + this.sendLiveness(neighbours) - JOIN_INTERVAL_MS / 2;
        }
        if (now >= nextDelegateHeartbeatAt) {
          nextDelegateHeartbeatAt = now + this.delegateInterval(neighbours);
          if (isLargeZone(neighbours.length) || this.isDelegate(neighbours))
            this.sendMembersToOtherZones(neighbours);
        }
      }),
    );
    this.contactSeeds(true);
  }

  /** Stops the heartbeats; the caller closes the link. */
  close(): void {
    this.puller.close();
    for (const cancelTimer of this.cancelTimers) cancelTimer();
  }

  /** Sends a heartbeat to the neighbours at once, after a change of this host's state. */
  announce(): void {
    this.sendTo(this.membership.neighbours(), this.heartbeat());
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
      this.sendMembersToOtherZones(this.membership.neighbours());
      return;
    }
    this.sendTo(this.membership.neighbours(), message);
    this.sendTo(this.chooseHostPerOtherZone('changes'), { ...message, shouldRebroadcast: true });
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
      this.sendTo(this.chooseHostPerOtherZone('reports'), { ...message, shouldRebroadcast: true });
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

  private sendCountsToSharers({ host: sender, sequence, calls }: InFlightCounts): void {
    const byHost = groupByHost([...calls], ([key]) => this.parts.sharersOfKey(key) ?? []);
    for (const host of this.membership.neighbours()) {
      const used = byHost.get(host.id);
      if (used === undefined) continue;
      const counts = [{ host: sender, sequence, calls: new Map(used) }];
      this.sendTo([host], { kind: 'flights', counts });
    }
  }

  /**
   * Sends in-flight counts to the zone; with `isCrossZone`, to one host of each other zone instead.
   */
  broadcastInFlightCounts(counts: readonly InFlightCounts[], isCrossZone: boolean): void {
    if (counts.length === 0) return;
    const isShared = [...counts[0]!.calls.keys()].some(
      (key) => this.parts.sharersOfKey(key) !== null,
    );
    if (isShared) {
      for (const own of counts) this.sendCountsToSharers(own);
      return;
    }
    const message: InFlightCountsMessage = { kind: 'flights', counts };
    if (isCrossZone)
      this.sendTo(this.chooseHostPerOtherZone('flights'), { ...message, shouldRebroadcast: true });
    else this.sendTo(this.membership.neighbours(), message);
  }

  /** Sends a crash notice to all hosts. */
  broadcastCrash(notice: CrashNotice): void {
    this.sendTo(this.membership.neighbours(), notice);
    this.sendTo(this.chooseHostPerOtherZone('crash'), { ...notice, shouldRebroadcast: true });
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

  /** Tells neighbours that this host is alive; the time in milliseconds until the next one. */
  private sendLiveness(neighbours: readonly KnownHost[]): number {
    if (!isLargeZone(neighbours.length)) {
      this.sendTo(neighbours, this.heartbeat());
      return heartbeatInterval(neighbours.length + 1);
    }
    this.sendTo(this.sample(neighbours, DIGEST_FANOUT), this.digest());
    return DIGEST_INTERVAL_MS;
  }

  private delegateInterval(neighbours: readonly KnownHost[]): number {
    if (isLargeZone(neighbours.length)) return LARGE_ZONE_DELEGATE_INTERVAL_MS;
    return DELEGATE_INTERVAL_MS;
  }

  private digest(): Digest {
    const { host, asOf, newest, source, isLeaving, zoneSize, incarnation } = this.heartbeat();
    const ages = this.sample([...this.membership.ages()], MAX_DIGEST_MEMBERS);
    return {
      kind: 'digest',
      ...{ sender: identityKey(host[0]), incarnation, asOf, newest, source, isLeaving, zoneSize },
      ages: new Map(ages),
    };
  }

  private receiveDigest(digest: Digest, fromIp: string): void {
    const lacking = this.membership.applyDigest(digest, fromIp);
    if (lacking !== 'nothing' || this.isFarAhead(digest.zoneSize)) this.requestMembers(fromIp);
    if (lacking !== 'sender') this.puller.check();
  }

  private isFarAhead(zoneSize: number): boolean {
    const known = this.membership.neighbours().length + 1;
    return isLargeZone(zoneSize - 1) && zoneSize > known * ZONE_SIZE_GAP_FACTOR + 1;
  }

  private requestMembers(ip: string): void {
    const now = this.parts.clock.now();
    if (now < this.nextMembersRequestAt) return;
    this.nextMembersRequestAt = now + MIN_MEMBERS_REQUEST_INTERVAL_MS;
    this.send(ip, this.heartbeat({ shouldReplyWithMembers: true }));
  }

  // In a large zone, members of other zones are sent to each host at times instead.
  private rebroadcast(message: Message): void {
    const isForLargeZone = isLargeZone(this.membership.neighbours().length);
    if (isForLargeZone && (message.kind === 'heartbeat' || message.kind === 'reports')) return;
    this.sendTo(this.membership.neighbours(), message);
  }

  private receiveHeartbeat(heartbeat: Heartbeat, fromIp: string): void {
    const { self } = this.parts;
    const isNew = this.membership.applyHeartbeat(heartbeat, fromIp);
    if (heartbeat.otherZone !== undefined) this.membership.recordZoneSize(...heartbeat.otherZone);
    const [id, zone, ip] = heartbeat.host;
    if (isNew) this.parts.events.emit(EXCHANGE_EVENTS.hostDiscovered, { peer: id, zone });
    if (heartbeat.members !== undefined) this.applyMembers(heartbeat);
    if (heartbeat.shouldReplyWithMembers) this.replyWithMembers(ip, zone);
    else if (isNew && zone === self.zone) this.introduce(ip);
    if (zone === self.zone && this.isFarAhead(heartbeat.zoneSize)) this.requestMembers(ip);
    this.puller.check();
  }

  private applyMembers(heartbeat: Heartbeat): void {
    const { self } = this.parts;
    const reported = heartbeat.members!.map(([id, zone, ip]) => ({ id, zone, ip }));
    const unknown = this.membership.addReportedHosts(reported);
    const unknownNeighbours = unknown.filter((host) => host.zone === self.zone);
    this.sendTo(unknownNeighbours, this.heartbeat());
    // The delegate of another zone sends to one host of this zone, which rebroadcasts the members.
    if (heartbeat.host[1] !== self.zone && heartbeat.shouldReplyWithMembers !== true) {
      const { members, zoneSize } = heartbeat;
      this.rebroadcast(this.heartbeat({ members, otherZone: [heartbeat.host[1], zoneSize] }));
    }
  }

  // In a large zone a new host asks one of its neighbours for the others; if all of them listed each
  // other, a start of the zone would take datagrams in proportion to its cube.
  private introduce(ip: string): void {
    const neighbours = this.membership.neighbours();
    if (isLargeZone(neighbours.length)) this.send(ip, this.heartbeat());
    else this.send(ip, this.heartbeat({ members: neighbours.map(addressOf) }));
  }

  private replyWithMembers(ip: string, zone: string): void {
    const live = this.membership.live();
    const others = this.parts.zones
      .filter((other) => other !== zone)
      .flatMap((other) => this.sample(this.membership.inZone(other), OTHER_ZONE_MEMBERS));
    const members = [...live.filter((host) => host.zone === zone), ...others].map(addressOf);
    for (let from = 0; from === 0 || from < members.length; from += MAX_HEARTBEAT_MEMBERS) {
      const part = members.slice(from, from + MAX_HEARTBEAT_MEMBERS);
      this.send(ip, this.heartbeat({ members: part }));
    }
  }

  private heartbeat(extra: Partial<Heartbeat> = {}): Heartbeat {
    const { self, ledger } = this.parts;
    return {
      kind: 'heartbeat',
      host: addressOf(self),
      incarnation: this.parts.incarnation,
      asOf: ledger.catalog().asOf,
      newest: ledger.newestRevision(),
      source: this.parts.sourceState(),
      isLeaving: this.parts.isLeaving(),
      zoneSize: this.membership.neighbours().length + 1,
      ...extra,
    };
  }

  private contactSeeds(isAlone: boolean): void {
    const { self, random } = this.parts;
    const seeds = this.parts.seeds().filter((ip) => ip !== self.ip);
    if (seeds.length === 0) return;
    const contacted = isAlone ? seeds : [seeds[random.integer(seeds.length)]!];
    // No seeds are needed while other hosts are live, unless a whole zone is unknown.
    const isMissingZone = this.parts.zones.some(
      (zone) => zone !== self.zone && this.membership.inZone(zone).length === 0,
    );
    if (!isAlone && !isMissingZone) return;
    // A neighbour may know hosts of the zone when the seed does not answer.
    const asked = this.sample(this.membership.neighbours(), 1).map((host) => host.ip);
    for (const ip of [...contacted, ...asked])
      this.send(ip, this.heartbeat({ shouldReplyWithMembers: true }));
  }

  // During a network partition each side considers the other dead, and the seeds may be out of
  // date. One silent host is contacted at a time, so that the sides find each other again
  // afterwards.
  private contactSilentHost(): void {
    const silentHosts = this.membership.silentHosts();
    if (silentHosts.length === 0) return;
    const { ip } = silentHosts[this.parts.random.integer(silentHosts.length)]!;
    this.send(ip, this.heartbeat({ shouldReplyWithMembers: true }));
  }

  private isDelegate(neighbours: readonly KnownHost[]): boolean {
    const { self } = this.parts;
    return neighbours.every((host) => self.id < host.id || host.isLeaving);
  }

  private sendMembersToOtherZones(neighbours: readonly KnownHost[]): void {
    const { self } = this.parts;
    const members = this.sample([self, ...neighbours], MAX_CROSS_ZONE_MEMBERS).map(addressOf);
    this.sendTo(this.chooseHostPerOtherZone('members'), this.heartbeat({ members }));
  }

  private sample<Item>(items: readonly Item[], count: number): readonly Item[] {
    return items
      .map((item) => ({ item, order: this.parts.random.next() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, count)
      .map(({ item }) => item);
  }

  private chooseHostPerOtherZone(purpose: string): readonly HostAddress[] {
    const { self, random } = this.parts;
    const chosen: HostAddress[] = [];
    for (const zone of this.parts.zones) {
      if (zone === self.zone) continue;
      const hosts = this.membership.inZone(zone);
      if (hosts.length === 0) continue;
      // Messages sent once go to a random host. Member lists and in-flight counts, which many hosts
      // send, go to one host, which rebroadcasts them in batches; rendezvous hashing selects
      // another host each second, so that a dead one does little harm.
      const id =
        purpose === 'members' || purpose === 'flights'
          ? rendezvousChoice(
              `${purpose} ${self.zone} ${Math.floor(this.parts.clock.now() / SEED_INTERVAL_MS)}`,
              hosts.map((host) => host.id),
            )
          : hosts[random.integer(hosts.length)]!.id;
      chosen.push(hosts.find((host) => host.id === id)!);
    }
    return chosen;
  }

  private sendTo(hosts: readonly HostAddress[], message: Message): void {
    if (hosts.length === 0) return;
    const bytes = encodeMessage(message);
    for (const host of hosts) this.parts.link.send(host.ip, bytes);
  }

  private send(ip: string, message: Message): void {
    this.parts.link.send(ip, encodeMessage(message));
  }
}
