import { writeSync } from 'node:fs';

/**
 * Writes `text` to a file descriptor before it returns, for as long as `mayRetry` returns true while
 * the pipe is full; returns whether all of the text was written.
 */
export function writeNow(descriptor: number, text: string, mayRetry: () => boolean): boolean {
  let rest = Buffer.from(text, 'utf8');
  while (rest.length > 0) {
    try {
      // Called only when the process ends and no callback runs any more.
      // eslint-disable-next-line n/no-sync
      rest = rest.subarray(writeSync(descriptor, rest));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EAGAIN' || !mayRetry()) return false;
    }
  }
  return true;
}
