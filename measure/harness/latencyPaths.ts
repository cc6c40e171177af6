import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { ManagedProcess } from './managedProcess';
import { TestFleet } from './testFleet';

const BASELINE = join(__dirname, '..', 'baseline', 'main.js');
const SERVICE = { name: 'round-sheet', targets: 1, slots: 200 };

type Stop = () => Promise<unknown>;

/** A way to the target that added-latency compares. */
export interface LatencyPath {
  readonly name: 'direct' | 'gateway' | 'baseline' | 'relayed';
  readonly base: string;
  /** Processes whose processor time the path costs. */
  readonly processes: readonly ManagedProcess[];
}

/** All ways to one kind of target, each with processes of its own. */
export class LatencyPaths {
  private constructor(
    readonly paths: readonly LatencyPath[],
    private readonly stops: readonly Stop[],
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
    const stops: Stop[] = [() => rm(directory, { recursive: true })];
    try {
      const single = await startFleet(['zone-1'], 'zone-1');
      stops.unshift(() => single.stop());
      // The target's owner is the host in its own zone, so calls to the other host are relayed.
      const pair = await startFleet(['zone-1', 'zone-2'], 'zone-2');
      stops.unshift(() => pair.stop());
      const targetPort = single.targets.portOf(`${SERVICE.name}-1`);
      const baseline = await ManagedProcess.start(BASELINE, [String(targetPort)], '"port"');
      stops.unshift(() => baseline.stop());
      const { port } = JSON.parse(baseline.readyLine) as { port: number };
      return new LatencyPaths(
        [
          { name: 'direct', base: `http://127.0.0.1:${targetPort}`, processes: [] },
          { name: 'gateway', base: single.bases[0]!, processes: single.gateways },
          { name: 'baseline', base: `http://127.0.0.1:${port}`, processes: [baseline] },
          { name: 'relayed', base: pair.bases[0]!, processes: pair.gateways },
        ],
        stops,
      );
    } catch (error) {
      for (const stop of stops) await stop();
      throw error;
    }
  }

  async stop(): Promise<void> {
    for (const stop of this.stops) await stop();
  }
}
