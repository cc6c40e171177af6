import { randomUUID } from 'node:crypto';

import { VERSION } from '../gateway';

import { EXIT } from './exitCode';
import { runControl } from './runControl';
import { usageText } from './usageText';

/** Entry point of limpetknotctl; returns the exit code. */
export async function main(argumentList: readonly string[]): Promise<number> {
  if (argumentList.includes('--help')) {
    process.stdout.write(usageText());
    return EXIT.done;
  }
  if (argumentList.includes('--version')) {
    process.stdout.write(`limpetknotctl ${VERSION}\n`);
    return EXIT.done;
  }
  return runControl({
    arguments: argumentList,
    environment: process.env,
    out: (text) => process.stdout.write(text),
    err: (text) => process.stderr.write(text),
    newOrderId: randomUUID,
  });
}
