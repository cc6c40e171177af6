import { type IncomingHttpHeaders } from 'node:http';

/** Why the head of an answer does not say where its body ends; null when it does. */
export function headFault(headers: IncomingHttpHeaders): string | null {
  const coding = headers['transfer-encoding'] as string | string[] | undefined;
  // An answer in any other coding ends with its connection, and its body is not the target's bytes.
  if (coding !== undefined && (Array.isArray(coding) || coding.trim().toLowerCase() !== 'chunked'))
    return 'unknown transfer coding';
  return null;
}
