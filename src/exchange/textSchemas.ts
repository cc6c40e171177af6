import * as z from 'zod';

const hostSchema = z.tuple([z.string(), z.string(), z.string()]);
const flag = z.union([z.literal(0), z.literal(1)]);
const count = z.number().int().nonnegative();
const MAX_ID_LENGTH = 300;
const MAX_CRASH_IDS = 100;

/** Fields of a heartbeat by position, which is the wire format; the last five may be left out. */
export const heartbeatSchema = z.tuple([
  z.string(),
  z.string(),
  z.string(),
  count,
  count,
  z.enum(['idle', 'reading', 'failing']),
  flag,
  count,
  z.array(hostSchema).nullish(),
  flag.nullish(),
  z.tuple([z.string(), count]).nullish(),
  count.nullish(),
  count.nullish(),
]);

/** Fields of catalog changes by position. */
export const changesFieldsSchema = z.tuple([flag, z.string()]);

const crashIds = z.array(z.string().max(MAX_ID_LENGTH)).max(MAX_CRASH_IDS);

/** Fields of notices by position. */
export const noticesFieldsSchema = z.tuple([
  flag,
  flag,
  z.array(z.tuple([z.string().max(MAX_ID_LENGTH), crashIds, crashIds, count])),
  z.array(z.tuple([z.string().max(MAX_ID_LENGTH), z.number().nullable()])),
]);
