import { type IncomingHttpHeaders } from 'node:http';

// In a head, a status line is the start of another answer, behind one that broke off.
const STATUS_LINE = /HTTP\/\d\.\d \d{3}/;

// The parser takes any three digits; RFC 9110, section 15, allows these.
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * Why the head of an answer is none, does not say where its body ends, or to which answer it belongs; null
 * for a sound one.
 */
export function headFault(
  status: number,
  headers: IncomingHttpHeaders,
  statusText: string,
): string | null {
  if (status < MIN_STATUS || status > MAX_STATUS) return `no valid status: ${status}`;
  const coding = headers['transfer-encoding'] as string | string[] | undefined;
  // An answer in any other coding ends with its connection, and its body is not the target's bytes.
  if (coding !== undefined && (Array.isArray(coding) || coding.trim().toLowerCase() !== 'chunked'))
    return 'unknown transfer coding';
  const texts = [statusText, ...Object.values(headers).flat()];
  return texts.some((text) => text !== undefined && STATUS_LINE.test(text))
    ? 'the head of another answer inside a head'
    : null;
}
