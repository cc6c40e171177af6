import { parseArgs } from 'node:util';

import * as z from 'zod';

const measureOptionsSchema = z.object({
  json: z.boolean().default(false),
  seed: z.coerce.number().int().min(1).default(1),
  /** Duration of one measured interval. */
  seconds: z.coerce.number().positive().default(10),
  /** Policies to compare, separated by commas. */
  policy: z
    .string()
    .default('naive,local-least-loaded,owner')
    .transform((list) => list.split(',')),
  deployment: z.enum(['derwent-vale', 'saryarka']).default('derwent-vale'),
  gateways: z.coerce.number().int().min(1).max(33).default(4),
  /** Load as a share of the targets' capacity. */
  load: z.coerce.number().positive().max(4).default(0.6),
  /** Rates of added-latency in calls a second, separated by commas. */
  rates: z
    .string()
    .default('1000,3000')
    .transform((list) => list.split(',').map(Number)),
  /** Fleet sizes of control-cost and target-wishes, hosts in a zone of calm-load, separated by commas. */
  sizes: z
    .string()
    .default('3,9,17,33')
    .transform((list) => list.split(',').map(Number)),
  /** Slots of the targets of calm-load, separated by commas. */
  slots: z
    .string()
    .default('1,2,3,6')
    .transform((list) => list.split(',').map(Number)),
  alternations: z.coerce.number().int().min(1).default(5),
});

/** Validated options of a measurement. */
export type MeasureOptions = Readonly<z.output<typeof measureOptionsSchema>>;

/** Parses the command line: the name of the measurement, if any, and its options. */
export function readMeasureOptions(argumentList: readonly string[]): {
  readonly name: string | undefined;
  readonly options: MeasureOptions;
} {
  const flags = Object.keys(measureOptionsSchema.shape).map((flag) => [
    flag,
    { type: flag === 'json' ? ('boolean' as const) : ('string' as const) },
  ]);
  const { values, positionals } = parseArgs({
    args: [...argumentList],
    options: Object.fromEntries(flags),
    allowPositionals: true,
  });
  return { name: positionals[0], options: measureOptionsSchema.parse(values) };
}
