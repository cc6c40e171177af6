import { type IncomingMessage } from 'node:http';

/** Fault that a marked call injects into a target stand-in. */
export type Mark = 'crash' | 'truncate';

/** Header that marks a call; a path segment with the name of the mark has the same effect. */
export const MARK_HEADER = 'x-standin-mark';

/** Returns the mark of a call, or null. */
export function markOf(request: IncomingMessage): Mark | null {
  const header = request.headers[MARK_HEADER];
  const segments = (request.url ?? '').split(/[/?]/);
  for (const mark of ['crash', 'truncate'] as const) {
    if (header === mark || segments.includes(mark)) return mark;
  }
  return null;
}
