import { isIPv4 } from 'node:net';

import * as z from 'zod';

const MAX_PORT = 65_535;
const MAX_NAME_LENGTH = 200;
// Entries outside of these bounds are not written by servers. They would distort sums over targets, or
// keep a target cold for good.
const MAX_SLOTS = 100_000;
const MAX_COLD_MS = 24 * 60 * 60 * 1000;

function isSocketAddress(text: string): boolean {
  const [ip, port, ...rest] = text.split(':');
  if (rest.length > 0 || !isIPv4(ip ?? '') || !/^[1-9]\d{0,4}$/.test(port ?? '')) return false;
  return Number(port) <= MAX_PORT;
}

/** IPv4 address and port, joined by a colon. */
export const targetAddressSchema = z.string().refine(isSocketAddress);

/** Name of a service or an availability zone. */
export const targetNameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

/** Calls that a target executes concurrently. */
export const slotsSchema = z.number().int().min(1).max(MAX_SLOTS);

/** Remaining time of a cold period, in milliseconds. */
export const coldLeftSchema = z.number().min(0).max(MAX_COLD_MS);
