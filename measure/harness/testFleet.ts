import { request } from 'undici';

import {
  freePort,
  PlatformStandin,
  type SheetHost,
  type SheetService,
  sheetText,
  type TargetSettings,
  type TargetTruth,
} from '../../standins';

import { CountingForwarder } from './countingForwarder';
import { startGatewayProcess } from './gatewayProcess';
import { type ManagedProcess } from './managedProcess';
import { TargetProcess } from './targetProcess';

const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 50;

/** A service of a test fleet; its targets are assigned to the zones round-robin. */
export interface FleetService {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
}

/** Configuration of a test fleet. */
export interface FleetOptions {
  /** Zone of each host; each host runs one gateway process. */
  readonly hostZones: readonly string[];
  readonly targetZones: readonly string[];
  readonly services: readonly FleetService[];
  readonly targetSettings: Partial<TargetSettings>;
  readonly policy: string;
  readonly seed: number;
  readonly decisionLog?: string;
  readonly rain?: boolean;
  readonly operations?: readonly string[];
  readonly coldMs?: number;
  /** Whether a counting forwarder is placed in front of each peer port. */
  readonly shouldCountPeerBytes?: boolean;
}

async function makeHost(zone: string, index: number): Promise<SheetHost> {
  return {
    id: `host-${index + 1}`,
    zone,
    callerPort: await freePort(),
    relayPort: await freePort(),
    peerPort: await freePort(),
    operatorPort: await freePort(),
  };
}

/** Starts the forwarders; returns the hosts with the forwarders' ports as peer ports. */
function startForwarders(
  hosts: readonly SheetHost[],
  forwarders: readonly CountingForwarder[],
): Promise<SheetHost[]> {
  return Promise.all(
    hosts.map(async (host, index) => ({ ...host, peerPort: await forwarders[index]!.start() })),
  );
}

function targetIds(service: FleetService): readonly string[] {
  return Array.from({ length: service.targets }, (_, index) => `${service.name}-${index + 1}`);
}

function sheetService(
  service: FleetService,
  options: FleetOptions,
  targets: TargetProcess,
): SheetService {
  const { targetZones: zones, coldMs } = options;
  return {
    name: service.name,
    targets: targetIds(service).map((id, index) => ({
      id,
      zone: zones[index % zones.length]!,
      port: targets.portOf(id),
      slots: service.slots,
      coldMs,
      // Without a cold period targets are warm immediately, so that runs need no long ramp-up.
      coldLimit: coldMs === undefined ? service.slots : 1,
    })),
  };
}

/** Gateways and target stand-ins in separate processes; the platform stand-in runs in this one. */
export class TestFleet {
  private constructor(
    readonly hosts: readonly SheetHost[],
    readonly gateways: readonly ManagedProcess[],
    readonly targets: TargetProcess,
    readonly platform: PlatformStandin,
    readonly forwarders: readonly CountingForwarder[],
  ) {}

  static async start(options: FleetOptions): Promise<TestFleet> {
    const { policy, seed, services } = options;
    const targets = await TargetProcess.start(
      services.flatMap(targetIds),
      options.targetSettings,
      seed,
    );
    const hosts = await Promise.all(options.hostZones.map(makeHost));
    const forwarders = hosts.map(({ peerPort }) => new CountingForwarder(peerPort));
    const listedHosts =
      options.shouldCountPeerBytes === true ? await startForwarders(hosts, forwarders) : hosts;
    const platform = new PlatformStandin();
    const platformUrl = await platform.start();
    platform.publish(
      sheetText({
        version: 1,
        rain: options.rain,
        zones: [...new Set([...options.hostZones, ...options.targetZones])],
        hosts: listedHosts,
        services: services.map((service) => sheetService(service, options, targets)),
        operations: options.operations,
      }),
    );
    const decisionLog = options.decisionLog ?? '';
    const starts = await Promise.allSettled(
      hosts.map((host, index) =>
        startGatewayProcess(host, { policy, platformUrl, seed: seed + index + 1, decisionLog }),
      ),
    );
    const gateways = starts.flatMap((start) => (start.status === 'fulfilled' ? [start.value] : []));
    const fleet = new TestFleet(hosts, gateways, targets, platform, forwarders);
    try {
      const failure = starts.find((start) => start.status === 'rejected');
      if (failure !== undefined) throw failure.reason;
      await fleet.waitUntilReady(services);
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  /** Base URLs for callers. */
  get baseUrls(): readonly string[] {
    return this.hosts.map(({ callerPort }) => `http://127.0.0.1:${callerPort}`);
  }

  truth(): Promise<readonly TargetTruth[]> {
    return this.targets.truth();
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.stop()));
    await Promise.all(this.forwarders.map((forwarder) => forwarder.stop()));
    await this.targets.process.stop();
    await this.platform.stop();
  }

  private async waitUntilReady(services: readonly FleetService[]): Promise<void> {
    const readyDeadline = performance.now() + READY_TIMEOUT_MS;
    for (const base of this.baseUrls) {
      for (const { name } of services) {
        while (!(await TestFleet.isAnswering(`${base}/${name}/ready-check`))) {
          if (performance.now() > readyDeadline) {
            const logs = this.gateways.map(({ lastLine }) => lastLine).join('\n');
            throw new Error(`${base} did not serve ${name} in time; last log lines:\n${logs}`);
          }
          await new Promise((resolve) => {
            setTimeout(resolve, READY_POLL_MS);
          });
        }
      }
    }
  }

  private static async isAnswering(url: string): Promise<boolean> {
    try {
      const answer = await request(url);
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }
}
