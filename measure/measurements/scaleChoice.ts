import { type Measurement } from '../measurement';
import { runScaleChoice } from '../scaleChoice';

const CHOICES = 20_000;

/** Cost of routing decisions with up to 7,100 targets. */
export const scaleChoice: Measurement = {
  description: 'time and memory of one routing decision with 16, 1,000 and 7,100 targets',
  run: async ({ seed }) => (await runScaleChoice({ seed, choices: CHOICES })).rows.map((row) => ({ ...row })),
};
