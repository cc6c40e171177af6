import { type Clock } from '../runtime';

import { type HostAddress } from './hostAddress';
import { type KnownHost } from './knownHost';
import { type Heartbeat } from './message';

// A host that died is replaced as prober and reader after this many heartbeats of its zone.
const SILENT_BEATS = 4.5;
// Hosts of other zones are named by their zones' delegates, which speak less often.
const FAR_SILENT_MS = 3500;
// Heartbeats of a zone of up to FULL_RATE_HOSTS; larger zones beat more slowly, so that the bytes
// that a host sends do not grow with its zone.
const HEARTBEAT_MS = 200;
const FULL_RATE_HOSTS = 14;

/** Time between the heartbeats of a zone with so many hosts, in milliseconds. */
export function heartbeatInterval(zoneSize: number): number {
  return HEARTBEAT_MS * Math.max(1, zoneSize / FULL_RATE_HOSTS);
}

// Silent hosts are asked now and then for this long, well beyond an hour without a link.
const FORGET_MS = 2 * 60 * 60 * 1000;
// How old the lists of live hosts may be.
const REFRESH_MS = 50;

/** The other hosts of the system that were heard lately; without agreement between hosts. */
export class Membership {
  private readonly hosts = new Map<string, KnownHost>();

  private mostSeen = 1;

  private liveHosts: readonly KnownHost[] = [];

  private liveNeighbours: readonly KnownHost[] = [];

  private refreshAt = 0;

  /** Live hosts of each zone, as its hosts last said. */
  private readonly zoneSizes = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly self: HostAddress,
  ) {}

  /** Takes a heartbeat; true when its sender was unknown or has started again. */
  hear(heartbeat: Heartbeat, fromIp: string): boolean {
    const [id, zone, ip] = heartbeat.host;
    if (id === this.self.id || ip !== fromIp) return false;
    const { incarnation, asOf, source, isLeaving, zoneSize } = heartbeat;
    this.zoneSizes.set(zone, zoneSize);
    const known = this.hosts.get(id);
    const heardAt = this.clock.now();
    this.hosts.set(id, {
      ...{ id, zone, ip, incarnation, asOf, source, isLeaving, heardAt },
      isDirect: true,
    });
    this.noteSize();
    return known === undefined || !known.isDirect || known.incarnation !== incarnation;
  }

  /** Notes hosts that another host hears; returns those that were unknown here. */
  name(members: readonly HostAddress[]): readonly HostAddress[] {
    const now = this.clock.now();
    const unknown: HostAddress[] = [];
    for (const { id, zone, ip } of members) {
      if (id === this.self.id) continue;
      const known = this.hosts.get(id);
      if (known === undefined || !this.isLive(known, now)) {
        unknown.push({ id, zone, ip });
        const base = { incarnation: 0, asOf: 0, source: 'idle' as const, isLeaving: false };
        this.hosts.set(id, { id, zone, ip, ...base, heardAt: now, isDirect: false });
      } else if (zone !== this.self.zone) this.hosts.set(id, { ...known, heardAt: now });
    }
    this.noteSize();
    return unknown;
  }

  /** Notes the number of live hosts of another zone. */
  noteZoneSize(zone: string, size: number): void {
    if (zone !== this.self.zone) this.zoneSizes.set(zone, size);
  }

  /** Live hosts other than this one; of other zones only some. */
  live(): readonly KnownHost[] {
    this.refresh();
    return this.liveHosts;
  }

  /** Live hosts of this host's zone that it hears itself, other than this one. */
  neighbours(): readonly KnownHost[] {
    this.refresh();
    return this.liveNeighbours;
  }

  /** Live hosts of another zone. */
  inZone(zone: string): readonly KnownHost[] {
    return this.live().filter((host) => host.zone === zone);
  }

  /**
   * Hosts of this zone that were heard once and are silent now, and those of a zone without a live
   * host: they may be cut off or have started again.
   */
  silent(): readonly HostAddress[] {
    const now = this.clock.now();
    const liveZones = new Set(this.live().map((host) => host.zone));
    return [...this.hosts.values()].filter((host) => {
      const isMissed = host.zone === this.self.zone ? host.isDirect : !liveZones.has(host.zone);
      return isMissed && !this.isLive(host, now) && now - host.heardAt < FORGET_MS;
    });
  }

  /** Most hosts, this one included, that were live at the same time since the start. */
  largestSize(): number {
    return this.mostSeen;
  }

  private isLive(host: KnownHost, now: number): boolean {
    if (host.zone !== this.self.zone) return now - host.heardAt < FAR_SILENT_MS;
    const zoneSize = Math.max(this.liveNeighbours.length + 1, this.zoneSizes.get(host.zone) ?? 0);
    return now - host.heardAt < SILENT_BEATS * heartbeatInterval(zoneSize);
  }

  // The lists are read for each report and each call, and change a few times a second.
  private refresh(): void {
    const now = this.clock.now();
    if (now < this.refreshAt) return;
    this.refreshAt = now + REFRESH_MS;
    this.liveHosts = [...this.hosts.values()].filter((host) => this.isLive(host, now));
    this.liveNeighbours = this.liveHosts.filter(
      (host) => host.zone === this.self.zone && host.isDirect,
    );
  }

  private noteSize(): void {
    this.refreshAt = 0;
    this.refresh();
    let size = this.liveNeighbours.length + 1;
    const zones = new Set(this.liveHosts.map((host) => host.zone));
    for (const zone of zones) if (zone !== this.self.zone) size += this.zoneSizes.get(zone) ?? 1;
    if (size > this.mostSeen) this.mostSeen = size;
  }
}
