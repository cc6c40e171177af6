import { type TargetReturn } from '../../test/load/targetReturn';
import { playWishes, type WishReport, type WishScenario } from '../../test/load/wishScenario';
import { type Measurement, type ResultRow } from '../measurement';

const RETURN_SECONDS = [1, 2, 5, 10];
const LOSS_RATIOS = [0.05, 0.3];

const round = (value: number) => Math.round(value * 100) / 100;

// Calls at once before the wish and in the first second after it, and shares of the usual rate.
function describeReturn({ shares, peakBefore, peakInFirstSecond }: TargetReturn): string {
  return `${peakBefore}, ${peakInFirstSecond}; ${shares.map(round).join(', ')}`;
}

function toRow({ size, lossRatio, hasNotices }: WishScenario, report: WishReport): ResultRow {
  return {
    ...{ hosts: size, loss: lossRatio, notices: hasNotices ? 'yes' : 'no' },
    violations: report.violations.length,
    callsToLeaving: report.leaving.calls,
    ofRestarted: report.leaving.ofRestarted,
    mostOfOneHost: report.leaving.mostOfOneHost,
    lastAfterMs: report.leaving.lastAfterMs,
    inTime: Math.round(report.inTimeShare * 1000) / 1000,
    someQuiet: describeReturn(report.someQuiet),
    allQuiet: describeReturn(report.allQuiet),
  };
}

/** Calls to targets that leave or ask for no calls, by size of the fleet, on the fleet model. */
export const targetWishes: Measurement = {
  description: 'calls to targets that leave or ask for none, by --sizes and --seed (fleet model)',
  run: async ({ sizes, seed, load }, onProgress) => {
    const rows: ResultRow[] = [];
    for (const size of sizes) {
      for (const lossRatio of LOSS_RATIOS) {
        for (const hasNotices of [true, false]) {
          const scenario = {
            ...{ size, seed, load, lossRatio, hasNotices, hasRestarts: true, isStoreAway: true },
            returnSeconds: RETURN_SECONDS,
          };
          const report = await playWishes(scenario);
          for (const violation of report.violations) onProgress(violation);
          rows.push(toRow(scenario, report));
          onProgress(JSON.stringify(rows.at(-1)));
        }
      }
    }
    return rows;
  },
};
