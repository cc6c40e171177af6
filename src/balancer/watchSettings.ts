import { statSync } from 'node:fs';

import { type Clock, runEvery } from '../runtime';

/** Calls `onChange` when the file at `path` changes and on SIGHUP; returns a function to stop. */
export function watchSettings(
  path: string,
  intervalMs: number,
  clock: Clock,
  onChange: () => void,
): () => void {
  const readStamp = () => {
    // One stat call of a local file each interval; the file is read only at start and on changes.
    // eslint-disable-next-line n/no-sync
    const { mtimeMs, size, ino } = statSync(path, { throwIfNoEntry: false }) ?? {};
    return `${mtimeMs} ${size} ${ino}`;
  };
  let lastStamp = readStamp();
  const stop = runEvery(clock, intervalMs, () => {
    const currentStamp = readStamp();
    if (currentStamp === lastStamp) return;
    lastStamp = currentStamp;
    onChange();
  });
  const onSignal = () => {
    lastStamp = readStamp();
    onChange();
  };
  process.on('SIGHUP', onSignal);
  return () => {
    stop();
    process.off('SIGHUP', onSignal);
  };
}
