import { fork } from 'node:child_process';
import { join } from 'node:path';

import { type LoadResult } from './loadResult';
import { type LoadPlan } from './plan';

/** Runs a load plan in a separate process. */
export function runGenerator(plan: LoadPlan): Promise<LoadResult> {
  const child = fork(join(__dirname, 'generatorMain.js'));
  return new Promise((resolve, reject) => {
    let result: LoadResult | null = null;
    child.once('message', (message) => {
      result = message as LoadResult;
    });
    child.once('exit', (code) => {
      if (result === null) reject(new Error(`the load generator exited with ${code}`));
      else resolve(result);
    });
    child.send(plan);
  });
}
