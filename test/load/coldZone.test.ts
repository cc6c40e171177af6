import { playCalm } from './calmScenario';
import { type NetworkedFleet } from './networkedFleet';

const SEED = Number(process.env.SEED ?? 1);
// From the restart of the targets to beyond the end of the run.
const COLD_MS = 8000;

function restartTargetsOfZone(fleet: NetworkedFleet, zone: string): void {
  for (const { target } of fleet.targets.values()) {
    if (target.zone !== zone) continue;
    const coldUntil = fleet.clock.now() + COLD_MS;
    const restarted = { ...target, startedAt: 2, coldUntil };
    fleet.source.publish(target.id, { kind: 'target', target: restarted });
  }
}

// Guards against hosts that refuse calls while all targets of their zone are cold, although other zones
// have free slots.
test(`calls of a zone with cold targets run in other zones (seed ${SEED})`, async () => {
  const report = await playCalm({
    ...{ hostsPerZone: 25, slots: 2, seed: SEED, seconds: 2 },
    disturb: (fleet) => restartTargetsOfZone(fleet, 'a'),
  });
  if (process.env.PRINT_CALM) console.log(JSON.stringify(report));
  expect(report.refusals).toBe(0);
  expect(report.unserved).toBe(0);
}, 120_000);
