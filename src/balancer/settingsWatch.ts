import { statSync } from 'node:fs';

import { type Clock, runEvery } from '../runtime';

/** Calls `onChange` when the file at `path` has changed, and on SIGHUP; returns how to end it. */
export function watchSettings(
  path: string,
  intervalMs: number,
  clock: Clock,
  onChange: () => void,
): () => void {
  const stamp = () => {
    // A small local file, read at start and on changes only.
    // eslint-disable-next-line n/no-sync
    const { mtimeMs, size, ino } = statSync(path, { throwIfNoEntry: false }) ?? {};
    return `${mtimeMs} ${size} ${ino}`;
  };
  let seen = stamp();
  const stop = runEvery(clock, intervalMs, () => {
    const now = stamp();
    if (now === seen) return;
    seen = now;
    onChange();
  });
  const onSignal = () => {
    seen = stamp();
    onChange();
  };
  process.on('SIGHUP', onSignal);
  return () => {
    stop();
    process.off('SIGHUP', onSignal);
  };
}
