import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';

import { Err, Ok, type Result } from 'ts-results';
import * as z from 'zod';

import {
  applyDelta,
  MAX_SHEET_BYTES,
  parseSheet,
  SECTION_NAMES,
  type Sheet,
  type SheetDelta,
} from '../sheet';

const compress = promisify(gzip);
const decompress = promisify(gunzip);

// A delta contains at most the rows of two sheets plus JSON overhead.
const MAX_CONTENT_BYTES = 4 * MAX_SHEET_BYTES;

const rows = z.array(z.string()).readonly();
const deltaSchema: z.ZodType<SheetDelta> = z.object({
  baseFingerprint: z.string(),
  wantedFingerprint: z.string(),
  sections: z
    .array(z.object({ section: z.enum(SECTION_NAMES), removed: rows, added: rows }).readonly())
    .readonly(),
});

/** Serializes and compresses a delta for transfer to another host. */
export function encodeDelta(delta: SheetDelta): Promise<Buffer> {
  return compress(JSON.stringify(delta));
}

/** Compresses a whole sheet for transfer to another host. */
export function encodeSheet(sheet: Sheet): Promise<Buffer> {
  return compress(sheet.text);
}

async function decompressText(data: Buffer): Promise<Result<string, string>> {
  try {
    const content = await decompress(data, { maxOutputLength: MAX_CONTENT_BYTES });
    return Ok(content.toString());
  } catch (error) {
    return Err(`cannot be decompressed: ${String(error)}`);
  }
}

function parseDelta(text: string): Result<SheetDelta, string> {
  try {
    const checked = deltaSchema.safeParse(JSON.parse(text));
    return checked.success ? Ok(checked.data) : Err('is not a valid delta');
  } catch {
    return Err('is not valid JSON');
  }
}

/** Decodes data from another host; `base` is the base of a delta, or null for a whole sheet. */
export async function decodeSheet(
  data: Buffer,
  base: Sheet | null,
  wantedFingerprint: string,
): Promise<Result<Sheet, string>> {
  const text = await decompressText(data);
  if (text.err) return text;
  const delta = base === null ? null : parseDelta(text.val);
  if (delta?.err) return delta;
  const sheet =
    base === null || delta === null ? parseSheet(text.val) : applyDelta(base, delta.val);
  if (sheet.err) return Err(`does not contain a valid sheet: ${sheet.val[0]?.message ?? ''}`);
  if (sheet.val.fingerprint !== wantedFingerprint)
    return Err('contains a sheet with another fingerprint');
  return Ok(sheet.val);
}
