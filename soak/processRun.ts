import { runSoak, type SoakResult } from './processes/soakRun';

function printResult({ load, judgements, faults }: SoakResult): void {
  const kinds = Object.entries(load.phases.soak ?? {});
  console.table(
    kinds.map(([kind, { outcomes, latency }]) => ({
      kind,
      ...outcomes,
      p50: latency.p50,
      p99: latency.p99,
    })),
  );
  console.table(judgements);
  console.log(`faults: ${[...faults].map(([name, count]) => `${name} ${count}`).join(', ')}`);
}

/** Random run of real processes; returns whether no guarantee was broken. */
export async function runProcesses(seed: number, minutes: number): Promise<boolean> {
  console.log(`process random run: seed ${seed}, ${minutes} min`);
  const start = performance.now();
  const result = await runSoak(seed, minutes, (line) =>
    console.log(`${((performance.now() - start) / 1000).toFixed(1).padStart(6)} s  ${line}`),
  );
  printResult(result);
  const kept = Object.values(result.judgements).every(
    ({ doubled, lost, falseNotRun }) => doubled + lost + falseNotRun === 0,
  );
  console.log(kept ? 'no guarantee broken' : `failed; repeat with --seed ${seed}`);
  return kept;
}
