import { createReadStream } from 'node:fs';

import { Err, Ok, type Result } from 'ts-results';

import { MAX_SHEET_BYTES } from '../sheet';

/** Reads a file as text, up to one byte above the size limit so that `parseSheet` rejects it. */
export async function readSheetFile(path: string): Promise<Result<string, string>> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of createReadStream(path, { end: MAX_SHEET_BYTES })) {
      chunks.push(chunk as Buffer);
    }
    return Ok(Buffer.concat(chunks).toString('utf8'));
  } catch (error) {
    return Err((error as Error).message);
  }
}
