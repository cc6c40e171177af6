import { type IncomingHttpHeaders } from 'node:http';

// In a head, a status line is the start of another answer, behind one that broke off.
const STATUS_LINE = /HTTP\/\d\.\d \d{3}/;

/** Why the head of an answer does not say where its body ends, or to which answer it belongs; null for none. */
export function headFault(headers: IncomingHttpHeaders, statusText: string): string | null {
  const coding = headers['transfer-encoding'] as string | string[] | undefined;
  // An answer in any other coding ends with its connection, and its body is not the target's bytes.
  if (coding !== undefined && (Array.isArray(coding) || coding.trim().toLowerCase() !== 'chunked'))
    return 'unknown transfer coding';
  const texts = [statusText, ...Object.values(headers).flat()];
  return texts.some((text) => text !== undefined && STATUS_LINE.test(text))
    ? 'the head of another answer inside a head'
    : null;
}
