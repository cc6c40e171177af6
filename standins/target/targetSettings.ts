import * as z from 'zod';

const milliseconds = z.number().min(0);

/** Behaviour of a target stand-in; every value can be changed while it runs. */
export const targetSettingsSchema = z.strictObject({
  /** Calls that run at the same time. */
  slots: z.number().int().min(1).default(1000),
  /** What happens to a call that finds all slots taken. */
  beyondSlots: z.enum(['queue', 'shed']).default('queue'),
  /** Median service time; 0 answers without a timer. */
  serviceTimeMs: milliseconds.default(10),
  /** Standard deviation of the logarithm of the service time; 0 makes it fixed. */
  spread: z.number().min(0).max(3).default(0),
  /** Multiplies the service time. */
  stragglerFactor: z.number().positive().default(1),
  /** Answers 500 at once, without running the call. */
  failing: z.boolean().default(false),
  /** Answers 503 with Limpetknot-Outcome: not-run, without running the call. */
  shedding: z.boolean().default(false),
  draining: z.boolean().default(false),
  /** Calls in flight that the target can handle while it is cold. */
  coldLimit: z.number().int().min(1).default(1),
  /** Time from start to the end of warm-up; 0 disables the cold period. */
  coldMs: milliseconds.default(0),
  /** What happens to a call beyond the cold limit. */
  coldBreakdown: z.enum(['slow', 'reset']).default('slow'),
  /** Age of the values in load reports and /readyz answers. */
  reportLagMs: milliseconds.default(0),
  /** Multiplies the reported utilization. */
  reportFactor: z.number().min(0).default(1),
  /** Time after a crash until the target listens again; null means never. */
  returnAfterMs: milliseconds.nullable().default(500),
  /** Minimum size of a response body. */
  answerBytes: z.number().int().min(0).default(0),
  /** Base URL (gateway and service) of the next call in a chain; empty for none. */
  nextUrl: z.string().default(''),
});

/** Validated settings of a target stand-in. */
export type TargetSettings = Readonly<z.output<typeof targetSettingsSchema>>;
