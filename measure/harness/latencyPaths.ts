import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { ManagedProcess } from './managedProcess';
import { TestFleet } from './testFleet';

const BASELINE_SCRIPT = join(__dirname, '..', 'baseline', 'main.js');
const SERVICE = { name: 'round-sheet', targets: 1, slots: 200 };

type Cleanup = () => Promise<unknown>;

/** A network path to the target that added-latency compares. */
export interface LatencyPath {
  readonly name: 'direct' | 'gateway' | 'baseline' | 'relayed';
  readonly baseUrl: string;
  /** Processes whose processor time counts towards the path. */
  readonly processes: readonly ManagedProcess[];
}

/** All network paths to one kind of target; direct, gateway and baseline share one target. */
export class LatencyPaths {
  private constructor(
    readonly paths: readonly LatencyPath[],
    private readonly cleanups: readonly Cleanup[],
  ) {}

  static async start(seed: number): Promise<LatencyPaths> {
    const directory = await mkdtemp(join(tmpdir(), 'limpetknot-measure-'));
    const startFleet = (hostZones: readonly string[], targetZone: string) =>
      TestFleet.start({
        hostZones,
        targetZones: [targetZone],
        services: [SERVICE],
        targetSettings: { slots: SERVICE.slots, serviceTimeMs: 0 },
        policy: 'owner',
        seed,
        decisionLog: join(directory, 'decisions.log'),
      });
    const cleanups: Cleanup[] = [() => rm(directory, { recursive: true })];
    try {
      const single = await startFleet(['zone-1'], 'zone-1');
      cleanups.unshift(() => single.stop());
      // The target's owner is the host in its own zone, so calls to the other host are relayed.
      const pair = await startFleet(['zone-1', 'zone-2'], 'zone-2');
      cleanups.unshift(() => pair.stop());
      const targetPort = single.targets.portOf(`${SERVICE.name}-1`);
      const baseline = await ManagedProcess.start(BASELINE_SCRIPT, [String(targetPort)], '"port"');
      cleanups.unshift(() => baseline.stop());
      const { port } = JSON.parse(baseline.readyLine) as { port: number };
      return new LatencyPaths(
        [
          { name: 'direct', baseUrl: `http://127.0.0.1:${targetPort}`, processes: [] },
          { name: 'gateway', baseUrl: single.baseUrls[0]!, processes: single.gateways },
          { name: 'baseline', baseUrl: `http://127.0.0.1:${port}`, processes: [baseline] },
          { name: 'relayed', baseUrl: pair.baseUrls[0]!, processes: pair.gateways },
        ],
        cleanups,
      );
    } catch (error) {
      for (const stop of cleanups) await stop();
      throw error;
    }
  }

  async stop(): Promise<void> {
    for (const cleanup of this.cleanups) await cleanup();
  }
}
