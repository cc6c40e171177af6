import { identityKey, isLargeZone } from '../knowledge';
import { type Clock } from '../runtime';

import { type HostAddress } from './hostAddress';
import { type KnownHost } from './knownHost';
import { type Digest, type Heartbeat } from './message';

// A host of the same zone is considered dead after this many heartbeat intervals without a
// heartbeat; another host then takes over its health checks and its reading of the source.
const SAME_ZONE_TIMEOUT_HEARTBEATS = 4.5;
// In a large zone signs of life spread by digests, which takes a few seconds.
const LARGE_ZONE_TIMEOUT_MS = 6000;
const LARGE_ZONE_TIMEOUT_HOSTS = 100;
// Hosts of other zones are listed by the delegates of their zones, which send less often, and in large
// zones by some hosts at random.
const CROSS_ZONE_TIMEOUT_MS = 3500;
const LARGE_CROSS_ZONE_TIMEOUT_MS = 15_000;
// Heartbeat interval in zones of up to FULL_RATE_ZONE_HOSTS hosts. Larger zones use a longer
// interval, so that the bytes sent by a host do not grow with the size of its zone.
const MIN_HEARTBEAT_INTERVAL_MS = 200;
const FULL_RATE_ZONE_HOSTS = 14;

/** Heartbeat interval in a zone of `zoneSize` hosts, in milliseconds. */
export function heartbeatInterval(zoneSize: number): number {
  return MIN_HEARTBEAT_INTERVAL_MS * Math.max(1, zoneSize / FULL_RATE_ZONE_HOSTS);
}

// Silent hosts are contacted from time to time for this long, so that hosts find each other again
// after a network partition of well over an hour.
const SILENT_RETENTION_MS = 2 * 60 * 60 * 1000;
// Maximum age of the cached lists of live hosts.
const LIST_REFRESH_INTERVAL_MS = 50;

/**
 * Hosts from which heartbeats were received recently. Each host keeps its own list, without
 * agreement.
 */
export class Membership {
  private readonly hosts = new Map<string, KnownHost>();

  private readonly idsByKey = new Map<number, string>();

  private maxLiveHosts = 1;

  private liveHosts: readonly KnownHost[] = [];

  private liveNeighbours: readonly KnownHost[] = [];

  private nextRefreshAt = 0;

  /** Number of live hosts of each zone, as last received. */
  private readonly zoneSizes = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly self: HostAddress,
  ) {}

  /** Applies a received heartbeat; true when its sender was unknown or has restarted. */
  applyHeartbeat(heartbeat: Heartbeat, fromIp: string): boolean {
    const [id, zone, ip] = heartbeat.host;
    if (id === this.self.id || ip !== fromIp) return false;
    const { incarnation, source, isLeaving, zoneSize } = heartbeat;
    const { asOf, newest, fingerprint } = heartbeat;
    this.zoneSizes.set(zone, zoneSize);
    const known = this.hosts.get(id);
    const receivedAt = this.clock.now();
    this.idsByKey.set(identityKey(id), id);
    this.hosts.set(id, {
      ...{ id, zone, ip, incarnation, source, isLeaving, receivedAt },
      ...{ asOf, newest, fingerprint },
      isDirect: true,
    });
    this.updateMaxLiveHosts();
    return known === undefined || !known.isDirect || known.incarnation !== incarnation;
  }

  /** Applies a received digest; what this host lacks to use it fully. */
  applyDigest(digest: Digest, fromIp: string): 'nothing' | 'sender' | 'members' {
    const now = this.clock.now();
    const { incarnation, asOf, newest, fingerprint, source, isLeaving, zoneSize } = digest;
    const sender = this.direct(digest.sender);
    if (sender === undefined || sender.ip !== fromIp || sender.incarnation !== incarnation)
      return 'sender';
    const state = { asOf, newest, fingerprint, source, isLeaving };
    this.hosts.set(sender.id, { ...sender, ...state, receivedAt: now });
    this.zoneSizes.set(sender.zone, zoneSize);
    let isComplete = true;
    for (const [key, ageMs] of digest.ages) {
      if (key === identityKey(this.self.id)) continue;
      const host = this.direct(key);
      if (host === undefined) isComplete = false;
      else if (now - ageMs > host.receivedAt)
        this.hosts.set(host.id, { ...host, receivedAt: now - ageMs });
    }
    this.updateMaxLiveHosts();
    return isComplete ? 'nothing' : 'members';
  }

  /** Time since the last sign of life of each neighbour, by the key of its id. */
  ages(): ReadonlyMap<number, number> {
    const now = this.clock.now();
    return new Map(
      this.neighbours().map((host) => [identityKey(host.id), now - host.receivedAt] as const),
    );
  }

  /** Adds hosts that another host lists as live; returns those that were not live here. */
  addReportedHosts(members: readonly HostAddress[]): readonly HostAddress[] {
    const now = this.clock.now();
    const unknown: HostAddress[] = [];
    for (const { id, zone, ip } of members) {
      if (id === this.self.id) continue;
      const known = this.hosts.get(id);
      if (known === undefined || !this.isLive(known, now)) {
        unknown.push({ id, zone, ip });
        const base = {
          incarnation: 0,
          asOf: 0,
          newest: 0,
          fingerprint: 0,
          source: 'idle' as const,
          isLeaving: false,
        };
        this.idsByKey.set(identityKey(id), id);
        this.hosts.set(id, { id, zone, ip, ...base, receivedAt: now, isDirect: false });
      } else if (zone !== this.self.zone) this.hosts.set(id, { ...known, receivedAt: now });
    }
    this.updateMaxLiveHosts();
    return unknown;
  }

  /** Records the number of live hosts of another zone. */
  recordZoneSize(zone: string, size: number): void {
    if (zone !== this.self.zone) this.zoneSizes.set(zone, size);
  }

  /** Live hosts, excluding this one; only some of those in other zones are known. */
  live(): readonly KnownHost[] {
    this.refresh();
    return this.liveHosts;
  }

  /** Live hosts of the same zone whose own heartbeats were received, excluding this host. */
  neighbours(): readonly KnownHost[] {
    this.refresh();
    return this.liveNeighbours;
  }

  /** Known live hosts of another zone. */
  inZone(zone: string): readonly KnownHost[] {
    return this.live().filter((host) => host.zone === zone);
  }

  /** Whether as many hosts of another zone are known as it counts itself. */
  knowsAllOf(zone: string): boolean {
    const size = this.sizeOf(zone);
    return size > 0 && this.inZone(zone).length >= size;
  }

  /**
   * Hosts that stopped sending heartbeats: hosts of this zone that sent one before, and hosts of
   * zones without a live host. They may be partitioned from this host or have restarted.
   */
  silentHosts(): readonly HostAddress[] {
    this.forgetOldHosts();
    const now = this.clock.now();
    const liveZones = new Set(this.live().map((host) => host.zone));
    return [...this.hosts.values()].filter((host) => {
      const isMissing = host.zone === this.self.zone ? host.isDirect : !liveZones.has(host.zone);
      return isMissing && !this.isLive(host, now);
    });
  }

  /**
   * Largest number of hosts, including this one, that were live at once since the process started.
   */
  maxLiveHostCount(): number {
    return this.maxLiveHosts;
  }

  /** Number of live hosts, including this one, with those of other zones as these count them. */
  liveHostCount(): number {
    this.refresh();
    let size = this.liveNeighbours.length + 1;
    const zones = new Set(this.liveHosts.map((host) => host.zone));
    for (const zone of zones) if (zone !== this.self.zone) size += this.zoneSizes.get(zone) ?? 1;
    return size;
  }

  // Hosts are replaced under new ids, so that those of all days would be passed over otherwise.
  private forgetOldHosts(): void {
    const oldest = this.clock.now() - SILENT_RETENTION_MS;
    for (const { id, receivedAt } of this.hosts.values()) {
      if (receivedAt > oldest) continue;
      this.hosts.delete(id);
      this.idsByKey.delete(identityKey(id));
    }
  }

  private isLive(host: KnownHost, now: number): boolean {
    return now - host.receivedAt < this.timeoutOf(host.zone);
  }

  /** Age in milliseconds of the last sign of life at which a host of the zone is considered dead. */
  private timeoutOf(zone: string): number {
    const neighbourCount = this.liveNeighbours.length;
    if (zone !== this.self.zone) {
      const isLarge = isLargeZone(neighbourCount) || isLargeZone(this.sizeOf(zone) - 1);
      return isLarge ? LARGE_CROSS_ZONE_TIMEOUT_MS : CROSS_ZONE_TIMEOUT_MS;
    }
    const zoneSize = Math.max(neighbourCount + 1, this.sizeOf(zone));
    if (isLargeZone(zoneSize - 1))
      return LARGE_ZONE_TIMEOUT_MS * Math.max(1, zoneSize / LARGE_ZONE_TIMEOUT_HOSTS);
    return SAME_ZONE_TIMEOUT_HEARTBEATS * heartbeatInterval(zoneSize);
  }

  // The lists are cached: they are read for each report and each call, but change only a few times
  // a second.
  private refresh(): void {
    const now = this.clock.now();
    if (now < this.nextRefreshAt) return;
    this.nextRefreshAt = now + LIST_REFRESH_INTERVAL_MS;
    const timeouts = new Map<string, number>();
    const live: KnownHost[] = [];
    for (const host of this.hosts.values()) {
      const timeoutMs = timeouts.get(host.zone) ?? this.timeoutOf(host.zone);
      timeouts.set(host.zone, timeoutMs);
      if (now - host.receivedAt < timeoutMs) live.push(host);
    }
    this.liveHosts = live;
    this.liveNeighbours = live.filter((host) => host.zone === this.self.zone && host.isDirect);
  }

  private sizeOf(zone: string): number {
    return this.zoneSizes.get(zone) ?? 0;
  }

  private direct(key: number): KnownHost | undefined {
    const host = this.hosts.get(this.idsByKey.get(key) ?? '');
    return host?.isDirect === true ? host : undefined;
  }

  private updateMaxLiveHosts(): void {
    this.nextRefreshAt = 0;
    this.maxLiveHosts = Math.max(this.maxLiveHosts, this.liveHostCount());
  }
}
