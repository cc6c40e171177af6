import { type CalmReport, playCalm } from '../../test/load/calmScenario';
import { type Measurement, type ResultRow } from '../measurement';

const percent = (share: number) => Math.round(share * 1000) / 10;
const rounded = (value: number) => Math.round(value * 100) / 100;

function toRow(hostsPerZone: number, slots: number, report: CalmReport): ResultRow {
  return {
    ...{ hostsPerZone, slots, calls: report.calls },
    latePercent: percent(report.late),
    unservedPercent: percent(report.unserved),
    busiestToMean: rounded(report.busiestToMean),
    sharedPercent: percent(report.shared),
    newConnections: rounded(report.connections),
    datagrams: rounded(report.datagrams),
    kilobytes: rounded(report.bytes / 1000),
  };
}

/** Late calls and messages under normal load on targets with few slots, on the fleet model. */
export const calmLoad: Measurement = {
  description: 'normal load on few slots, by --sizes (hosts a zone), --slots and --seed (model)',
  run: async ({ sizes, slots: slotCounts, seed, seconds }, onProgress) => {
    const rows: ResultRow[] = [];
    for (const hostsPerZone of sizes) {
      for (const slots of slotCounts) {
        const report = await playCalm({ hostsPerZone, slots, seed, seconds });
        rows.push(toRow(hostsPerZone, slots, report));
        onProgress(JSON.stringify(rows.at(-1)));
      }
    }
    return rows;
  },
};

const MEASURED_LOADS = ['even', 'sales'] as const;

/** Why calls are late under normal load, by kind of call, counted from the first call on. */
export const lateCauses: Measurement = {
  description: 'why calls are late under normal load, by --sizes, --slots and --seed (model)',
  run: async ({ sizes, slots: slotCounts, seed, seconds }, onProgress) => {
    const rows: ResultRow[] = [];
    const runs = MEASURED_LOADS.flatMap((load) =>
      sizes.flatMap((hostsPerZone) => slotCounts.map((slots) => ({ load, hostsPerZone, slots }))),
    );
    for (const run of runs) {
      const report = await playCalm({ ...run, seed, seconds, warmUpMs: 0 });
      onProgress(JSON.stringify({ ...run, ...toRow(run.hostsPerZone, run.slots, report) }));
      for (const [kind, causes] of report.causes) rows.push({ ...run, kind, ...causes });
    }
    return rows;
  },
};
