import { type Sheet, parseSheet } from '../src';
import { freePort, PlatformStandin, type SheetHost, TargetStandin } from '../standins';

import { remapSheet } from './remapSheet';
import { type DemoGateway, startDemoGateway } from './startDemoGateway';

const SERVICE_TIME_MS = 15;
const SERVICE_TIME_SIGMA = 0.3;
const COLD_MS = 500;
const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 50;

function readSheet(text: string): Sheet {
  const sheet = parseSheet(text);
  if (sheet.err) throw new Error(`the sheet is not valid: ${JSON.stringify(sheet.val)}`);
  return sheet.val;
}

async function startTargets(sheet: Sheet, seed: number): Promise<Map<string, TargetStandin>> {
  const targets = new Map<string, TargetStandin>();
  for (const row of sheet.targets.values()) {
    const target = new TargetStandin(row.target, seed + targets.size);
    target.configure({
      slots: row.slots,
      serviceTimeMs: SERVICE_TIME_MS,
      spread: SERVICE_TIME_SIGMA,
      coldLimit: row.cold_limit,
      coldMs: COLD_MS,
    });
    targets.set(row.target, target);
  }
  return targets;
}

/** Picks the first host of each zone, and free ports for it. */
async function pickHosts(sheet: Sheet): Promise<readonly SheetHost[]> {
  const byZone = new Map<string, SheetHost>();
  for (const { host, zone } of sheet.hosts.values()) {
    if (byZone.has(zone)) continue;
    byZone.set(zone, {
      id: host,
      zone,
      callerPort: await freePort(),
      relayPort: await freePort(),
      peerPort: await freePort(),
      operatorPort: await freePort(),
    });
  }
  return [...byZone.values()];
}

/** Platform and target stand-ins and gateways of one deployment, all in this process. */
export class DemoSystem {
  private constructor(
    readonly sheet: Sheet,
    readonly platform: PlatformStandin,
    readonly targets: ReadonlyMap<string, TargetStandin>,
    readonly gateways: readonly DemoGateway[],
  ) {}

  /** Starts the deployment of a sheet, on loopback and with one host in each zone. */
  static async start(text: string, seed: number): Promise<DemoSystem> {
    const published = readSheet(text);
    const targets = await startTargets(published, seed);
    const ports = new Map<string, number>();
    for (const [id, target] of targets) ports.set(id, await target.start());
    const hosts = await pickHosts(published);
    const sheet = readSheet(remapSheet(published.text, hosts, ports));
    const platform = new PlatformStandin();
    platform.publish(sheet.text);
    const url = await platform.start();
    const gateways = await Promise.all(
      hosts.map((host, index) => startDemoGateway(host, url, seed + index)),
    );
    const system = new DemoSystem(sheet, platform, targets, gateways);
    await system.waitUntilReady();
    return system;
  }

  /** Base URLs for callers. */
  get baseUrls(): readonly string[] {
    return this.gateways.map(({ host }) => `http://127.0.0.1:${host.callerPort}`);
  }

  targetsIn(zone: string): readonly TargetStandin[] {
    return [...this.sheet.targets.values()]
      .filter((row) => row.zone === zone)
      .map((row) => this.targets.get(row.target)!);
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.close()));
    await Promise.all([...this.targets.values()].map((target) => target.stop()));
    await this.platform.stop();
  }

  private async waitUntilReady(): Promise<void> {
    const readyDeadline = performance.now() + READY_TIMEOUT_MS;
    while (!this.gateways.every(({ fleet }) => fleet.isReady())) {
      if (performance.now() > readyDeadline)
        throw new Error('the gateways did not become ready in time');
      await new Promise((resolve) => {
        setTimeout(resolve, READY_POLL_MS);
      });
    }
  }
}
