import { type Measurement } from '../measurement';
import { run } from '../scaleChoice';

const CHOICES = 20_000;

/** Cost of routing choices at up to 7,100 targets. */
export const scaleChoice: Measurement = {
  description: 'time and memory of one routing choice with 16, 1,000 and 7,100 targets',
  run: async ({ seed }) => (await run({ seed, choices: CHOICES })).rows.map((row) => ({ ...row })),
};
