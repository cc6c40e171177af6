import { runFaultSoak } from '../../soak/balancers';

const SEEDS = (process.env.SEED ?? '1').split(',').map(Number);
const HOSTS = Number(process.env.SOAK_HOSTS ?? 4);
const SOAK_MS = Number(process.env.SOAK_MS ?? 20_000);
// A SIGHUP ends a process in which Node.js itself still starts (KNOWN-RED.txt), however long that takes
// on a busy machine. Signals are sent from the first line of a process on, or from this age.
const SIGNAL_AFTER_MS = Number(process.env.SOAK_SIGNAL_AFTER_MS ?? Infinity);
// Off by default, since hosts do not yet prove that their keys are current (docs/design/tenants-and-load.md, B).
const HAS_KEYS = process.env.SOAK_KEYS === '1';
const OUTPUT_FOLDER = process.env.SOAK_OUTPUT ?? null;
const COMMAND = process.env.SOAK_COMMAND?.split(' ') ?? null;

describe('faults in series, which overlap', () => {
  // Guards against processes that end by themselves or do not start, and against broken rules for calls,
  // while processes, settings, addresses, the store and servers fail.
  it.each(SEEDS)(
    'end no process and break no rule, seed %d',
    async (seed) => {
      const options = { hosts: HOSTS, faultMs: SOAK_MS, signalAfterMs: SIGNAL_AFTER_MS };
      const result = await runFaultSoak({
        ...options,
        ...{ seed, hasKeys: HAS_KEYS, command: COMMAND, outputFolder: OUTPUT_FOLDER },
      });
      const { calls, faults, log, runs, slowestReadyMs, slowestTurnMs, succeeded } = result;
      const counts = [...faults].map(([name, count]) => `${name} ${count}`).join(', ');
      const served = `${calls} calls, ${runs} runs, ${succeeded} succeeded`;
      const delays = `ready after ${slowestReadyMs} ms, turns of the test took ${slowestTurnMs} ms`;
      const summary = `seed ${seed}: ${served}; at most ${delays}`;
      console.log([summary, counts, ...(log.findings.length > 0 ? log.timeline : [])].join('\n'));
      expect(runs).toBeGreaterThan(SOAK_MS / 100);
      expect(log.findings).toEqual([]);
    },
    SOAK_MS + 60_000,
  );
});
