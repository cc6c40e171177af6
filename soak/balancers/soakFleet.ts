import { type Random } from '../../src/runtime';
import { freePort } from '../../standins';
import { ServerStandin } from '../../standins/server/serverStandin';
import { type PublishedEntry } from '../../standins/store/publishedValues';
import { BalancerProcess } from '../../test/support/balancerProcess';
import { TestPlatform } from '../../test/support/testPlatform';

import { type FleetServer } from './fleetServer';
import { type SoakKeys } from './soakKeys';

const SERVICES = [
  { prefix: '/book-slow/', service: 'book-slow', workMs: 300, isIdempotent: false },
  { prefix: '/book-quick/', service: 'book-quick', workMs: 30, isIdempotent: false },
  { prefix: '/read-slow/', service: 'read-slow', workMs: 200, isIdempotent: true },
  { prefix: '/read-quick/', service: 'read-quick', workMs: 20, isIdempotent: true },
];
const SLOTS = 100;
const TIME_LIMIT_MS = 2500;
const SEED_HOSTS = 3;

function hostIp(index: number): string {
  return `127.0.0.${index + 2}`;
}

/** Size of a fleet, and settings of its hosts. */
export interface SoakFleetOptions {
  readonly hosts: number;
  readonly serversPerService: number;
  readonly zones: readonly string[];
  readonly settings: Readonly<Record<string, string>>;
  /** Arguments of Node.js for each host; null for the program as built. */
  readonly command: readonly string[] | null;
  /** Keys of callers; null when the configuration has no tenants. */
  readonly keys: SoakKeys | null;
}

/** The store, the servers and the processes of the hosts of a soak run. */
export class SoakFleet {
  readonly platform = new TestPlatform();

  readonly balancers: BalancerProcess[] = [];

  /** Servers that have not been removed. */
  readonly servers: FleetServer[] = [];

  private readonly claimedServers = new Set<FleetServer>();

  private readonly services = new Map<string, string>();

  constructor(private readonly options: SoakFleetOptions) {}

  /** Publishes the catalog, starts the servers and writes the settings of the hosts. */
  async start(): Promise<void> {
    const { hosts, serversPerService, zones, settings, command } = this.options;
    this.publish(0);
    for (const { service } of SERVICES)
      for (let index = 0; index < serversPerService; index += 1) await this.addServer(service);
    const source = await this.platform.store.listen();
    const first = new BalancerProcess(this.platform);
    await first.prepare(hostIp(0), source);
    first.settings['metrics-port'] = String(await freePort());
    for (let index = 0; index < hosts; index += 1) {
      const balancer = index === 0 ? first : new BalancerProcess(this.platform);
      const zone = zones[index % zones.length]!;
      // Hosts assume that all of them use the same ports.
      const shared = Object.entries(first.settings).map(([name, value]) => [
        name,
        value.replace(hostIp(0), hostIp(index)),
      ]);
      Object.assign(balancer.settings, Object.fromEntries(shared), settings, {
        ...{ 'host-id': `host-${index}`, zone, zones: zones.join(','), source },
      });
      if (command !== null) balancer.command = command;
      this.balancers.push(balancer);
    }
    const seeds = this.balancers.map((balancer) => balancer.settings['control-address']!);
    for (const balancer of this.balancers) {
      balancer.settings.seeds = seeds.slice(0, SEED_HOSTS).join(',');
      balancer.writeSettings(balancer.markedSettings());
    }
  }

  /** Addresses for callers, in the order of the hosts. */
  callerAddresses(): readonly { readonly ip: string; readonly port: number }[] {
    return this.balancers.map(({ settings }) => {
      const [ip, port] = settings['caller-address']!.split(':');
      return { ip: ip!, port: Number(port) };
    });
  }

  /** Whether the configuration has tenants. */
  hasKeys(): boolean {
    return this.options.keys !== null;
  }

  /** Replaces a key of a caller by a new one; null without keys. */
  replaceKey(random: Random): string | null {
    return this.options.keys?.replace(random, () => this.publish(0)) ?? null;
  }

  /** Publishes a new version of the configuration with some additional routes. */
  publish(extraRoutes: number): void {
    const extra = Array.from({ length: extraRoutes }, (_, index) => ({
      ...{ prefix: `/extra-${index}/`, service: 'read-slow', isIdempotent: true },
    }));
    const { keys } = this.options;
    const routes = SERVICES.map((route) => ({ ...route, timeLimitMs: TIME_LIMIT_MS }));
    const open = routes.map((route) => ({ ...route, isPublic: keys !== null }));
    const keyed = routes.map((route) => ({ ...route, prefix: `/keyed-${route.prefix.slice(1)}` }));
    const all = [...open, ...(keys === null ? [] : keyed), ...extra];
    this.platform.configure(all, {}, keys?.tenants() ?? null);
  }

  /** Starts a server of a service and registers it, at a free port unless told otherwise. */
  async addServer(service: string, port?: number): Promise<FleetServer> {
    const { workMs } = SERVICES.find((known) => known.service === service)!;
    const number = this.services.size + 1;
    const id = `i-${number}`;
    this.services.set(id, service);
    const standin = new ServerStandin({ id, workMs, slots: SLOTS });
    // No ephemeral port: an outgoing connection could take it while the server is down.
    const address = await standin.listen(port ?? (await freePort()));
    const { zones } = this.options;
    const zone = zones[number % zones.length]!;
    const server: FleetServer = { id, service, zone, standin, address };
    this.platform.servers.set(id, standin);
    this.servers.push(server);
    this.register(server, {});
    return server;
  }

  /** Service of a server that was added. */
  serviceOf(id: string): string {
    return this.services.get(id)!;
  }

  /** Writes the entry of a server to the store. */
  register({ id, service, zone, address }: FleetServer, entry: PublishedEntry): void {
    this.platform.register(service, { id, slots: SLOTS }, address, { zone, ...entry });
  }

  /** Removes the entry of a server, which goes on serving. */
  unregister(server: FleetServer): void {
    this.platform.store.remove(`servers/${server.id}`);
    const index = this.servers.indexOf(server);
    if (index >= 0) this.servers.splice(index, 1);
  }

  /** Picks a server that no other fault acts on until `release` is called; null when there is none. */
  claimServer(random: Random): FleetServer | null {
    const free = this.servers.filter((server) => !this.claimedServers.has(server));
    if (free.length === 0) return null;
    const server = free[random.integer(free.length)]!;
    this.claimedServers.add(server);
    return server;
  }

  /** Ends the claim of a fault to a server. */
  release(server: FleetServer): void {
    this.claimedServers.delete(server);
  }

  /** A service, chosen at random. */
  pickService(random: Random): string {
    return SERVICES[random.integer(SERVICES.length)]!.service;
  }

  /** Ends all processes and stand-ins. */
  async close(): Promise<void> {
    for (const balancer of this.balancers) balancer.close();
    await this.platform.stop();
  }
}
