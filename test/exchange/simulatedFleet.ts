import { type CatalogFact, type Tenant } from '../../src/catalog';
import { ManualClock, SeededRandom } from '../../src/runtime';

import { SimulatedHosts } from './simulatedHosts';
import { SimulatedSource } from './simulatedSource';

const ZONES = ['a', 'b', 'c', 'd', 'e'];
const TARGETS = 60;

const TENANT: Tenant = {
  ...{ name: 'tenant', keyDigests: ['0'], priority: null, callsPerSecond: 0, burst: 0 },
};

function configuration(version: number, tenants: readonly Tenant[] | null): CatalogFact {
  const routes = Array.from({ length: 40 }, (_, index) => ({
    name: `route-${index}`,
    hostName: 'calls.example',
    prefix: `/${index}/`,
    isIdempotent: true,
    timeLimitMs: 1000,
    latencyObjectiveMs: 300,
    priority: 0,
    mostAttempts: 2,
    isPublic: false,
    parts: [{ service: 's', weight: version }],
  }));
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return {
    kind: 'configuration',
    configuration: { version, routes, services: [], limits, tenants },
  };
}

function target(id: string, slots: number): CatalogFact {
  const state = 'ready' as const;
  const base = { service: 's', address: '10.1.0.1:80', zone: 'a', coldUntil: 0, startedAt: 1 };
  return { kind: 'target', target: { ...base, id, slots, state } };
}

/** A fleet in several zones, each with a reader of the same simulated source. */
export class SimulatedFleet {
  readonly source: SimulatedSource;

  readonly network: SimulatedHosts;

  readonly clock = new ManualClock();

  readonly random: SeededRandom;

  constructor(
    size: number,
    zoneCount: number,
    seed: number,
    private readonly hasTenants = false,
  ) {
    this.random = new SeededRandom(seed);
    this.source = new SimulatedSource(this.clock);
    const zones = ZONES.slice(0, zoneCount);
    const network = new SimulatedHosts(
      this.clock,
      this.random,
      zones,
      () => ['10.0.0.1'],
      this.source,
    );
    this.network = network;
    this.publishConfiguration(1);
    for (let index = 0; index < TARGETS; index += 1) this.changeTarget(index);
    for (let index = 0; index < size; index += 1)
      network.start(`host-${index}`, zones[index % zones.length]!, `10.0.0.${index}`);
  }

  publishConfiguration(version: number): void {
    this.source.publish('configuration', configuration(version, this.hasTenants ? [TENANT] : null));
  }

  changeTarget(index: number): void {
    this.source.publish(`i-${index}`, target(`i-${index}`, 1 + this.random.integer(9)));
  }

  /** Publishes a target of zone a with this id, which began at this Unix time. */
  startTarget(id: string, startedAt: number): void {
    const { target: usual } = target(id, 6) as Extract<CatalogFact, { kind: 'target' }>;
    this.source.publish(id, { kind: 'target', target: { ...usual, startedAt } });
  }

  /** Changes one of the targets that the tests never remove. */
  changeAnyTarget(): void {
    this.changeTarget(this.random.integer(TARGETS - 10));
  }

  removeTarget(index: number): void {
    this.source.publish(`i-${index}`, null);
  }

  /** Removes the targets that `changeAnyTarget` does not change. */
  removeLastTargets(): void {
    for (let index = TARGETS - 10; index < TARGETS; index += 1) this.removeTarget(index);
  }

  /** Hosts that read the source now. */
  readers(): readonly string[] {
    return this.network
      .liveHosts()
      .filter((host) => host.reader?.state() === 'reading')
      .map((host) => host.address.id);
  }

  /** Starts a killed host again, without its previous state. */
  restart(id: string): void {
    const { zone, ip } = this.network.hosts.get(id)!.address;
    this.network.start(id, zone, ip, false);
  }

  /** Hosts that use an older configuration. */
  behind(version: number): readonly string[] {
    return this.network
      .liveHosts()
      .filter((host) => (host.ledger.catalog().configuration?.version ?? 0) < version)
      .map((host) => host.address.id);
  }

  /** Live hosts whose catalog has a target. */
  holdersOf(index: number): readonly string[] {
    return this.network
      .liveHosts()
      .filter((host) => host.ledger.catalog().targets.has(`i-${index}`))
      .map((host) => host.address.id);
  }
}
