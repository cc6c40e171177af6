import { type CatalogChanges, decodeChanges, encodeChanges, type Ledger } from '../catalog';
import { type FlightCounts, type TargetReport } from '../knowledge';
import { type EventSink } from '../logging';
import { type Clock, type Random, rendezvousChoice, runEvery } from '../runtime';
import { type SourceState } from '../source';

import { DATAGRAM_BYTES, decodeMessage, encodeMessage } from './datagramCodec';
import { type DatagramLink } from './datagramLink';
import { EXCHANGE_EVENTS } from './events';
import { type HostAddress } from './hostAddress';
import { type KnownHost } from './knownHost';
import { heartbeatInterval, Membership } from './membership';
import {
  type CrashNotice,
  type Flights,
  type Heartbeat,
  type Message,
  type Reports,
} from './message';

// Between zones a few hosts are named, and passed on to every host of the zone that hears of them.
const DELEGATE_MS = 500;
const FAR_MEMBERS = 5;
// Until another host was heard, and as a fallback when all known hosts are silent.
const JOIN_MS = 100;
const SEED_MS = 1000;
// A push of the same changes usually arrives before this.
const PULL_DELAY_MS = 40;

/** What the exchange needs of its host. */
export interface ExchangeParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly link: DatagramLink;
  readonly ledger: Ledger;
  readonly events: EventSink;
  readonly self: HostAddress;
  readonly incarnation: number;
  /** All zones of the region, this host's own included. */
  readonly zones: readonly string[];
  /** IP addresses at which other hosts may be found at the start. */
  readonly seeds: () => readonly string[];
  readonly sourceState: () => SourceState;
  readonly isLeaving: () => boolean;
  /** Reads the changes after a revision from another host; null when it does not answer. */
  readonly pull: (host: HostAddress, after: number) => Promise<CatalogChanges | null>;
  readonly onReports: (reports: readonly TargetReport[]) => void;
  /** With `passOn` the neighbours are to be told too. */
  readonly onFlights: (counts: readonly FlightCounts[], passOn: boolean) => void;
  readonly onCrash: (notice: CrashNotice) => void;
}

// A heartbeat with this many members still fits into one datagram of common size.
const MOST_MEMBERS = 40;
// Zones larger than this speak to each other less often.
const MANY_NEIGHBOURS = 16;

type MessageHandlers = {
  readonly [Kind in Message['kind']]: (
    message: Extract<Message, { kind: Kind }>,
    fromIp: string,
  ) => void;
};

function addressOf(host: HostAddress): readonly [string, string, string] {
  return [host.id, host.zone, host.ip];
}

/** Keeps the hosts of the system in touch by datagrams: who lives, what changed, what was seen. */
export class Exchange {
  readonly membership: Membership;

  private readonly stops: (() => void)[] = [];

  private isPulling = false;

  // A table, since some hundred datagrams arrive each second.
  private readonly handlers: MessageHandlers = {
    heartbeat: (heartbeat, fromIp) => this.hear(heartbeat, fromIp),
    reports: (message) => {
      this.parts.onReports(message.reports);
      if (message.passOn) this.passOn({ ...message, passOn: false });
    },
    flights: ({ counts, passOn }) => this.parts.onFlights(counts, passOn === true),
    changes: (message) => {
      this.parts.ledger.apply(decodeChanges(message.text, this.parts.clock.now()));
      if (message.passOn) this.passOn({ ...message, passOn: false });
    },
    crash: (notice) => {
      this.parts.onCrash(notice);
      if (notice.passOn) this.passOn({ ...notice, passOn: false });
    },
  };

  constructor(private readonly parts: ExchangeParts) {
    this.membership = new Membership(parts.clock, parts.self);
  }

  /** Starts the heartbeats. */
  start(): void {
    const { clock, link } = this.parts;
    link.onDatagram((bytes, fromIp) => this.receive(bytes, fromIp));
    let nextBeat = 0;
    let nextDelegation = 0;
    let nextSeed = 0;
    this.stops.push(
      runEvery(clock, JOIN_MS, () => {
        const now = clock.now();
        const neighbours = this.membership.neighbours();
        if (now >= nextSeed) {
          const isAlone = this.membership.live().length === 0;
          this.askSeeds(isAlone);
          this.askSilent();
          nextSeed = now + (isAlone ? JOIN_MS : SEED_MS);
        }
        if (now >= nextBeat) {
          nextBeat = now + heartbeatInterval(neighbours.length + 1) - JOIN_MS / 2;
          this.sendTo(neighbours, this.heartbeat());
        }
        if (now >= nextDelegation) {
          nextDelegation = now + DELEGATE_MS * (neighbours.length > MANY_NEIGHBOURS ? 2 : 1);
          if (this.isDelegate(neighbours)) this.tellOtherZones(neighbours);
        }
      }),
    );
    this.askSeeds(true);
  }

  /** Ends the heartbeats; the link is closed by its owner. */
  close(): void {
    for (const stop of this.stops) stop();
  }

  /** Tells the neighbours of a change in what this host says of itself, at once. */
  announce(): void {
    this.sendTo(this.membership.neighbours(), this.heartbeat());
  }

  /** Tells the zone, and one host of each other zone, of changes that were just read. */
  spreadChanges(changes: CatalogChanges): void {
    if (changes.records.length === 0) return;
    const text = encodeChanges(changes, this.parts.clock.now());
    const message: Message = { kind: 'changes', text };
    if (encodeMessage(message).length > DATAGRAM_BYTES) {
      // Too large for a datagram: the others ask for it when they hear of the newer revision.
      this.announce();
      this.tellOtherZones(this.membership.neighbours());
      return;
    }
    this.sendTo(this.membership.neighbours(), message);
    this.sendTo(this.oneOfEachOtherZone('changes'), { ...message, passOn: true });
  }

  /** Tells the zone what was seen; with `isFar` one host of each other zone too. */
  spreadReports(reports: readonly TargetReport[], isFar: boolean): void {
    if (reports.length === 0) return;
    const message: Reports = { kind: 'reports', reports };
    if (isFar) this.sendTo(this.oneOfEachOtherZone('reports'), { ...message, passOn: true });
    else this.sendTo(this.membership.neighbours(), message);
  }

  /** Tells the zone of calls in flight; with `isFar` one host of each other zone instead. */
  spreadFlights(counts: readonly FlightCounts[], isFar: boolean): void {
    if (counts.length === 0) return;
    const message: Flights = { kind: 'flights', counts };
    if (isFar) this.sendTo(this.oneOfEachOtherZone('flights'), { ...message, passOn: true });
    else this.sendTo(this.membership.neighbours(), message);
  }

  /** Tells all hosts of a crash. */
  spreadCrash(notice: CrashNotice): void {
    this.sendTo(this.membership.neighbours(), notice);
    this.sendTo(this.oneOfEachOtherZone('crash'), { ...notice, passOn: true });
  }

  private receive(bytes: Buffer, fromIp: string): void {
    const message = decodeMessage(bytes);
    if (message === null) {
      this.parts.events.emit(EXCHANGE_EVENTS.unreadable, { from: fromIp, bytes: bytes.length });
      return;
    }
    const handle = this.handlers[message.kind] as (received: Message, fromIp: string) => void;
    handle(message, fromIp);
  }

  private passOn(message: Message): void {
    this.sendTo(this.membership.neighbours(), message);
  }

  private hear(heartbeat: Heartbeat, fromIp: string): void {
    const { self } = this.parts;
    const isNew = this.membership.hear(heartbeat, fromIp);
    if (heartbeat.far !== undefined) this.membership.noteZoneSize(...heartbeat.far);
    const [id, zone, ip] = heartbeat.host;
    if (isNew) this.parts.events.emit(EXCHANGE_EVENTS.hostHeard, { peer: id, zone });
    if (heartbeat.members !== undefined) this.takeMembers(heartbeat);
    if (heartbeat.asksMembers || (isNew && zone === self.zone)) {
      this.send(ip, this.heartbeat({ members: this.members(heartbeat.asksMembers === true) }));
    }
    if (heartbeat.asOf > this.parts.ledger.catalog().asOf) this.pullSoon({ id, zone, ip });
  }

  private takeMembers(heartbeat: Heartbeat): void {
    const { self } = this.parts;
    const named = heartbeat.members!.map(([id, zone, ip]) => ({ id, zone, ip }));
    const unknown = this.membership.name(named);
    const unheard = unknown.filter((host) => host.zone === self.zone);
    this.sendTo(unheard, this.heartbeat());
    // The delegate of another zone speaks to one host here, which tells its neighbours.
    if (heartbeat.host[1] !== self.zone && heartbeat.asksMembers !== true) {
      const { members, zoneSize } = heartbeat;
      this.passOn(this.heartbeat({ members, far: [heartbeat.host[1], zoneSize] }));
    }
  }

  private members(all: boolean): readonly (readonly [string, string, string])[] {
    const { self } = this.parts;
    const hosts = all
      ? this.membership.live()
      : this.membership.live().filter((host) => host.zone === self.zone);
    return hosts.slice(0, MOST_MEMBERS).map(addressOf);
  }

  private heartbeat(extra: Partial<Heartbeat> = {}): Heartbeat {
    const { self, ledger } = this.parts;
    return {
      kind: 'heartbeat',
      host: addressOf(self),
      incarnation: this.parts.incarnation,
      asOf: ledger.catalog().asOf,
      source: this.parts.sourceState(),
      isLeaving: this.parts.isLeaving(),
      zoneSize: this.membership.neighbours().length + 1,
      ...extra,
    };
  }

  private askSeeds(isAlone: boolean): void {
    const { self, random } = this.parts;
    const seeds = this.parts.seeds().filter((ip) => ip !== self.ip);
    if (seeds.length === 0) return;
    const asked = isAlone ? seeds : [seeds[random.integer(seeds.length)]!];
    // Hosts that are heard need no seeds, unless a whole zone is unknown.
    const isMissingZone = this.parts.zones.some(
      (zone) => zone !== self.zone && this.membership.inZone(zone).length === 0,
    );
    if (!isAlone && !isMissingZone) return;
    for (const ip of asked) this.send(ip, this.heartbeat({ asksMembers: true }));
  }

  // After a cut each side takes the other for dead, and the seeds may be out of date: one silent host
  // is asked at a time, so that the sides find each other again.
  private askSilent(): void {
    const silent = this.membership.silent();
    if (silent.length === 0) return;
    const { ip } = silent[this.parts.random.integer(silent.length)]!;
    this.send(ip, this.heartbeat({ asksMembers: true }));
  }

  private isDelegate(neighbours: readonly KnownHost[]): boolean {
    const { self } = this.parts;
    return neighbours.every((host) => self.id < host.id || host.isLeaving);
  }

  private tellOtherZones(neighbours: readonly KnownHost[]): void {
    const { random, self } = this.parts;
    const members = [self, ...neighbours]
      .map((host) => ({ host, order: random.next() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, FAR_MEMBERS)
      .map(({ host }) => addressOf(host));
    this.sendTo(this.oneOfEachOtherZone('members'), this.heartbeat({ members }));
  }

  private oneOfEachOtherZone(purpose: string): readonly HostAddress[] {
    const { self, random } = this.parts;
    const chosen: HostAddress[] = [];
    for (const zone of this.parts.zones) {
      if (zone === self.zone) continue;
      const hosts = this.membership.inZone(zone);
      if (hosts.length === 0) continue;
      // Any host will do for what is sent once. What many hosts tell goes to the same one, which
      // passes it on in batches; another takes over each second, so that a dead one does little harm.
      const id =
        purpose === 'members' || purpose === 'flights'
          ? rendezvousChoice(
              `${purpose} ${self.zone} ${Math.floor(this.parts.clock.now() / SEED_MS)}`,
              hosts.map((host) => host.id),
            )
          : hosts[random.integer(hosts.length)]!.id;
      chosen.push(hosts.find((host) => host.id === id)!);
    }
    return chosen;
  }

  private pullSoon(host: HostAddress): void {
    if (this.isPulling) return;
    this.isPulling = true;
    const { clock, ledger } = this.parts;
    clock.setTimer(clock.now() + PULL_DELAY_MS, () => {
      void this.pullFrom(host, ledger.catalog().asOf).finally(() => {
        this.isPulling = false;
      });
    });
  }

  private async pullFrom(host: HostAddress, after: number): Promise<void> {
    const known = this.membership.live().find((live) => live.id === host.id);
    if (known !== undefined && known.asOf <= after) return;
    const changes = await this.parts.pull(host, after);
    if (changes !== null) this.parts.ledger.apply(changes);
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
