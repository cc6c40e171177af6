import * as z from 'zod';

import { type CatalogChanges } from './catalogChanges';
import { coldLeftSchema, slotsSchema, targetAddressSchema, targetNameSchema } from './targetSchema';

const revision = z.number().int().nonnegative();

const routeSchema = z.object({
  name: z.string(),
  hostName: z.string(),
  prefix: z.string(),
  isIdempotent: z.boolean(),
  timeLimitMs: z.number().positive(),
  latencyObjectiveMs: z.number().positive(),
  priority: z.number(),
  mostAttempts: z.number(),
  isPublic: z.boolean().default(false),
  parts: z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })),
});

const tenantSchema = z.object({
  name: z.string(),
  keyDigests: z.array(z.string()),
  priority: z.number().nullable(),
  callsPerSecond: z.number().nonnegative(),
  burst: z.number().nonnegative(),
});

const configurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z.array(
    z.object({
      name: z.string(),
      probePath: z.string(),
      connectionLimit: z.number(),
      coldPeriodMs: z.number(),
      coldRatePerSecond: z.number(),
    }),
  ),
  limits: z.object({
    headerBytes: z.number(),
    bodyBytes: z.number(),
    headerTimeoutMs: z.number(),
    idleTimeoutMs: z.number(),
  }),
  tenants: z.array(tenantSchema).nullable().default(null),
});

const targetSchema = z.object({
  id: z.string(),
  service: targetNameSchema,
  address: targetAddressSchema,
  zone: targetNameSchema,
  slots: slotsSchema,
  state: z.enum(['ready', 'leaving']),
  coldUntil: coldLeftSchema,
  startedAt: z.number().nullable(),
});

const factSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('configuration'), configuration: configurationSchema }),
  z.object({ kind: z.literal('target'), target: targetSchema }),
  z.object({ kind: z.literal('zoneOut'), zone: z.string() }),
]);

/** Catalog changes as other hosts send them. */
export const changesSchema: z.ZodType<CatalogChanges> = z.object({
  after: revision.nullable(),
  asOf: revision,
  records: z.array(z.object({ key: z.string(), revision, fact: factSchema.nullable() })),
});
