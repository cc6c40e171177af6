import { platformCallProtocol } from '../../platform/callProtocol';
import { type Catalog, type Target } from '../../src/catalog';
import { ProbeTask } from '../../src/delivery/probeTask';
import { type TargetStatisticsTable } from '../../src/knowledge';
import { Supervisor } from '../../src/lifecycle';
import { ManualClock } from '../../src/runtime';

async function turnsAfter(assignments: readonly boolean[]): Promise<number> {
  const clock = new ManualClock();
  let turns = 0;
  const catalog = () => {
    turns += 1;
    return { services: new Map(), objectiveMsByService: new Map() } as unknown as Catalog;
  };
  const targetStates = { get: () => undefined } as unknown as TargetStatisticsTable;
  const nothing = () => {};
  const task = new ProbeTask({ id: 'i-1', address: '127.0.0.1:1' } as Target, {
    ...{ clock, catalog, targetStates, protocol: platformCallProtocol },
    tasks: new Supervisor(clock, nothing),
    ...{ onReport: nothing, onLeaving: nothing, onProbe: nothing, onOpened: nothing },
  });
  for (const isProber of assignments) task.setProber(isProber);
  for (let step = 0; step < 50; step += 1) {
    clock.advanceBy(10);
    await new Promise(setImmediate);
  }
  task.close();
  return turns;
}

// Guards against twice the health checks of a target after its prober has changed back and forth.
test('a target that is assigned again is checked at the same rate', async () => {
  const usual = await turnsAfter([true]);
  expect(usual).toBeGreaterThan(10);
  expect(await turnsAfter([true, false, true, false, true])).toBeLessThan(usual + 10);
});
