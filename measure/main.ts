import { MEASUREMENTS } from './measurements';
import { type MeasureOptions, readMeasureOptions } from './measureOptions';
import { type Measurement } from './measurement';

function listMeasurements(): void {
  console.log('Usage: npm run measure -- NAME [--json] [--seed N] [--seconds N] ...\n');
  for (const [name, { description }] of Object.entries(MEASUREMENTS)) {
    console.log(`  ${name.padEnd(20)} ${description}`);
  }
}

async function runMeasurement(
  name: string,
  measurement: Measurement,
  options: MeasureOptions,
): Promise<void> {
  // Progress goes to standard error, so that the last line of standard output is the result.
  const rows = await measurement.run(options, (line) => console.error(`${name}: ${line}`));
  if (options.json) console.log(JSON.stringify({ measurement: name, options, rows }));
  else console.table(rows);
}

async function main(argumentList: readonly string[]): Promise<number> {
  const { name, options } = readMeasureOptions(argumentList);
  if (name === undefined) {
    listMeasurements();
    return 0;
  }
  const measurement = MEASUREMENTS[name];
  if (measurement === undefined) {
    console.error(`unknown measurement: ${name}`);
    listMeasurements();
    return 2;
  }
  await runMeasurement(name, measurement, options);
  return 0;
}

main(process.argv.slice(2)).then(
  (code) => {
    process.exitCode = code;
  },
  (error: unknown) => {
    console.error(error);
    process.exitCode = 1;
  },
);
