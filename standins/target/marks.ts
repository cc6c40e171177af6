import { type IncomingMessage } from 'node:http';

/** What a marked call asks a target stand-in to do. */
export type Mark = 'crash' | 'truncate';

/** Header that marks a call; a path segment with the name of the mark does the same. */
export const MARK_HEADER = 'x-standin-mark';

/** The mark of a call; null for an ordinary call. */
export function markOf(request: IncomingMessage): Mark | null {
  const header = request.headers[MARK_HEADER];
  const segments = (request.url ?? '').split(/[/?]/);
  for (const mark of ['crash', 'truncate'] as const) {
    if (header === mark || segments.includes(mark)) return mark;
  }
  return null;
}
