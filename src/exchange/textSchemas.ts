import * as z from 'zod';

const hostSchema = z.tuple([z.string(), z.string(), z.string()]);
const flag = z.union([z.literal(0), z.literal(1)]);
const count = z.number().int().nonnegative();

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

/** Fields of a crash notice by position. */
export const crashFieldsSchema = z.tuple([flag, z.string(), z.string(), flag]);
