import { statSync } from 'node:fs';

import { type Clock, runEvery } from '../runtime';

/**
 * Calls `onChange` when the file at `path` changes and on SIGHUP, and again at each interval for as long
 * as it returns false; returns a function to stop.
 */
export function watchSettings(
  path: string,
  intervalMs: number,
  clock: Clock,
  onChange: () => boolean,
): () => void {
  const readStamp = () => {
    try {
      // One stat call of a local file each interval; the file is read only at start and on changes.
      // eslint-disable-next-line n/no-sync
      const { mtimeMs, size, ino } = statSync(path);
      return `${mtimeMs} ${size} ${ino}`;
    } catch {
      // The file is being replaced, or cannot be reached for now.
      return 'absent';
    }
  };
  let lastStamp = readStamp();
  let isApplied = true;
  const apply = () => {
    lastStamp = readStamp();
    isApplied = false;
    isApplied = onChange();
  };
  const stop = runEvery(clock, intervalMs, () => {
    if (!isApplied || readStamp() !== lastStamp) apply();
  });
  process.on('SIGHUP', apply);
  return () => {
    stop();
    process.off('SIGHUP', apply);
  };
}
