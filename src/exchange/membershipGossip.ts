import { type Ledger } from '../catalog';
import { identityKey, isLargeZone } from '../knowledge';
import { type EventSink } from '../logging';
import { type Clock, type Random, runEvery, sample } from '../runtime';
import { type SourceState } from '../source';

import { EXCHANGE_EVENTS } from './events';
import { type HostAddress } from './hostAddress';
import { type KnownHost } from './knownHost';
import { heartbeatInterval, type Membership } from './membership';
import { type Digest, type Heartbeat, type HostFields, type Message } from './message';
import { type OtherZones } from './otherZones';

// The delegate of a zone sends a short member list to one host of each other zone, which
// rebroadcasts it to its neighbours.
const DELEGATE_INTERVAL_MS = 500;
const MAX_CROSS_ZONE_MEMBERS = 5;
// Seeds are contacted every JOIN_INTERVAL_MS while no other host is live, both at the start and
// when all known hosts are silent, and otherwise every SEED_INTERVAL_MS while a zone has no live
// host.
const JOIN_INTERVAL_MS = 100;
const SEED_INTERVAL_MS = 1000;
// A heartbeat with this many members still fits into a datagram of common size.
const MAX_HEARTBEAT_MEMBERS = 24;
// A host that replies with members lists this many of each zone other than that of the receiver.
const OTHER_ZONE_MEMBERS = 4;
// Hosts of a large zone send digests to this many neighbours at this interval.
const DIGEST_FANOUT = 3;
const DIGEST_INTERVAL_MS = 500;
// Keeps a digest within one datagram; zones with more hosts send them to fewer neighbours, so that
// their bytes stay within the limit of a host.
const MAX_DIGEST_MEMBERS = 200;
const VERY_LARGE_ZONE_NEIGHBOURS = 100;
const VERY_LARGE_ZONE_FANOUT = 2;
// Interval at which a host of a large zone sends some members to one host of each other zone.
const LARGE_ZONE_DELEGATE_INTERVAL_MS = 3000;
const MIN_MEMBERS_REQUEST_INTERVAL_MS = 300;
// A neighbour that counts this many times the hosts that this host knows can list the others.
const ZONE_SIZE_GAP_FACTOR = 1.1;

/** What a host tells others of itself, and where it finds them. */
export interface HostView {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly ledger: Ledger;
  readonly self: HostAddress;
  readonly incarnation: number;
  /** All zones of the region, including this host's own. */
  readonly zones: readonly string[];
  /** IP addresses at which other hosts may be reached at the start. */
  readonly seeds: () => readonly string[];
  readonly sourceState: () => SourceState;
  readonly isLeaving: () => boolean;
}

/** Dependencies of `MembershipGossip`. */
export interface MembershipGossipParts extends HostView {
  readonly otherZones: OtherZones;
  readonly send: (ips: readonly string[], message: Message) => void;
}

function addressOf(host: HostAddress): HostFields {
  return [host.id, host.zone, host.ip];
}

/** Makes the hosts of a fleet known to each other and shows that they live. */
export class MembershipGossip {
  private cancelTimer: () => void = () => {};

  private nextMembersRequestAt = 0;

  constructor(
    private readonly parts: MembershipGossipParts,
    private readonly membership: Membership,
  ) {}

  /** Contacts the seeds and starts to send heartbeats or digests. */
  start(): void {
    const { clock } = this.parts;
    let nextHeartbeatAt = 0;
    let nextDelegateHeartbeatAt = 0;
    let nextSeedContactAt = 0;
    this.cancelTimer = runEvery(clock, JOIN_INTERVAL_MS, () => {
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
        nextDelegateHeartbeatAt = now + this.delegateInterval();
        if (this.isInLargeZone() || this.isDelegate(neighbours)) this.sendMembersToOtherZones();
      }
    });
    this.contactSeeds(true);
  }

  /** Stops sending. */
  close(): void {
    this.cancelTimer();
  }

  /** Tells neighbours that this host is alive; the time in milliseconds until the next one. */
  private sendLiveness(neighbours: readonly KnownHost[]): number {
    if (!this.isInLargeZone()) {
      this.sendTo(neighbours, this.digest(0));
      return heartbeatInterval(neighbours.length + 1);
    }
    const fanout =
      neighbours.length > VERY_LARGE_ZONE_NEIGHBOURS ? VERY_LARGE_ZONE_FANOUT : DIGEST_FANOUT;
    this.sendTo(sample(this.parts.random, neighbours, fanout), this.digest(MAX_DIGEST_MEMBERS));
    return DIGEST_INTERVAL_MS;
  }

  private delegateInterval(): number {
    return this.isInLargeZone() ? LARGE_ZONE_DELEGATE_INTERVAL_MS : DELEGATE_INTERVAL_MS;
  }

  private isInLargeZone(): boolean {
    return isLargeZone(this.membership.neighbours().length);
  }

  private digest(maxMembers: number): Digest {
    const { host, ...state } = this.heartbeat();
    const ages =
      maxMembers === 0 ? [] : sample(this.parts.random, [...this.membership.ages()], maxMembers);
    return { ...state, kind: 'digest', sender: identityKey(host[0]), ages: new Map(ages) };
  }

  /** Applies a digest, and asks for what is missing to use it fully. */
  receiveDigest(digest: Digest, fromIp: string): void {
    const lacking = this.membership.applyDigest(digest, fromIp);
    if (lacking !== 'nothing' || this.isFarAhead(digest.zoneSize)) this.requestMembers(fromIp);
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

  /** Applies a heartbeat, and replies to one of a new host or one that asks for members. */
  receiveHeartbeat(heartbeat: Heartbeat, fromIp: string): void {
    const { self } = this.parts;
    const isNew = this.membership.applyHeartbeat(heartbeat, fromIp);
    if (heartbeat.otherZone !== undefined) this.membership.recordZoneSize(...heartbeat.otherZone);
    const [id, zone, ip] = heartbeat.host;
    if (isNew) this.parts.events.emit(EXCHANGE_EVENTS.hostDiscovered, { peer: id, zone });
    if (heartbeat.members !== undefined) this.applyMembers(heartbeat);
    if (isNew && zone === self.zone) this.tellOtherZones(heartbeat.host);
    if (heartbeat.shouldReplyWithMembers) this.replyWithMembers(ip, zone);
    else if (isNew && zone === self.zone) this.introduce(ip);
    if (zone === self.zone && this.isFarAhead(heartbeat.zoneSize)) this.requestMembers(ip);
  }

  private applyMembers(heartbeat: Heartbeat): void {
    const { self } = this.parts;
    const reported = heartbeat.members!.map(([id, zone, ip]) => ({ id, zone, ip }));
    const unknown = this.membership.addReportedHosts(reported);
    const unknownNeighbours = unknown.filter((host) => host.zone === self.zone);
    this.sendTo(unknownNeighbours, this.heartbeat());
    // The delegate of another zone sends to one host of this zone, which rebroadcasts the members. In
    // a large zone each host gets some at times instead.
    const isFromDelegate = heartbeat.host[1] !== self.zone && !heartbeat.shouldReplyWithMembers;
    if (isFromDelegate && !this.isInLargeZone()) {
      const { members, zoneSize } = heartbeat;
      const otherZone = [heartbeat.host[1], zoneSize] as const;
      this.sendTo(this.membership.neighbours(), this.heartbeat({ members, otherZone }));
    }
  }

  // In a large zone a new host asks one of its neighbours for the others; if all of them listed each
  // other, a start of the zone would take datagrams in proportion to its cube.
  private introduce(ip: string): void {
    if (this.isInLargeZone()) this.send(ip, this.heartbeat());
    else {
      const members = this.membership.neighbours().map(addressOf);
      this.send(ip, this.heartbeat({ members }));
    }
  }

  private replyWithMembers(ip: string, zone: string): void {
    const live = this.membership.live();
    const others = this.parts.zones
      .filter((other) => other !== zone)
      .flatMap((other) =>
        sample(this.parts.random, this.membership.inZone(other), OTHER_ZONE_MEMBERS),
      );
    const members = [...live.filter((host) => host.zone === zone), ...others].map(addressOf);
    for (let from = 0; from === 0 || from < members.length; from += MAX_HEARTBEAT_MEMBERS) {
      const part = members.slice(from, from + MAX_HEARTBEAT_MEMBERS);
      this.send(ip, this.heartbeat({ members: part }));
    }
  }

  /** A heartbeat of this host. */
  heartbeat(extra: Partial<Heartbeat> = {}): Heartbeat {
    const { self, ledger } = this.parts;
    return {
      kind: 'heartbeat',
      host: addressOf(self),
      incarnation: this.parts.incarnation,
      asOf: ledger.catalog().asOf,
      newest: ledger.newestRevision(),
      fingerprint: ledger.fingerprint(),
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
    const asked = sample(this.parts.random, this.membership.neighbours(), 1).map((host) => host.ip);
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

  /** Sends some members of this zone to one host of each other zone. */
  private sendMembersToOtherZones(): void {
    const { self, random } = this.parts;
    const reader = this.reader();
    const hosts = [self, ...this.membership.neighbours()].filter(({ id }) => id !== reader?.id);
    const others = sample(random, hosts, MAX_CROSS_ZONE_MEMBERS - 1);
    const members = reader === undefined ? others : [reader, ...others];
    this.sendToOtherZones(members.map(addressOf));
  }

  // The readers of other zones ask it for proofs, so that all of them have to know it.
  private reader(): HostAddress | undefined {
    const { self, sourceState } = this.parts;
    if (sourceState() === 'reading') return self;
    return this.membership.neighbours().find(({ source }) => source === 'reading');
  }

  // In-flight counts go to the hosts of small zones that are known.
  private tellOtherZones(newHost: HostFields): void {
    if (!this.isInLargeZone() && this.isDelegate(this.membership.neighbours()))
      this.sendToOtherZones([newHost]);
  }

  private sendToOtherZones(members: readonly HostFields[]): void {
    this.sendTo(this.parts.otherZones.choose('members'), this.heartbeat({ members }));
  }

  private sendTo(hosts: readonly HostAddress[], message: Message): void {
    this.parts.send(
      hosts.map((host) => host.ip),
      message,
    );
  }

  private send(ip: string, message: Message): void {
    this.parts.send([ip], message);
  }
}
