import { runSoak, type SoakResult } from './processes/soakRun';

function printResult({ load, checks, faults }: SoakResult): void {
  const kinds = Object.entries(load.phases.soak ?? {});
  console.table(
    kinds.map(([kind, { outcomes, latency }]) => ({
      kind,
      ...outcomes,
      p50: latency.p50,
      p99: latency.p99,
    })),
  );
  console.table(checks);
  console.log(`faults: ${[...faults].map(([name, count]) => `${name} ${count}`).join(', ')}`);
}

/** Runs real processes under random faults; returns whether all guarantees held. */
export async function runProcesses(seed: number, minutes: number): Promise<boolean> {
  console.log(`process random run: seed ${seed}, ${minutes} min`);
  const start = performance.now();
  const result = await runSoak(seed, minutes, (line) =>
    console.log(`${((performance.now() - start) / 1000).toFixed(1).padStart(6)} s  ${line}`),
  );
  printResult(result);
  const hasPassed = Object.values(result.checks).every(
    ({ doubled, lost, falseNotRun }) => doubled + lost + falseNotRun === 0,
  );
  console.log(hasPassed ? 'no guarantee violated' : `failed; reproduce with --seed ${seed}`);
  return hasPassed;
}
