import * as z from 'zod';

import { CONDITION_NAMES } from '../warnings';

import { targetStatusSchema } from './targetStatus';

const zoneStatusSchema = z.object({ zone: z.string(), inService: z.boolean() }).readonly();

const hostStatusSchema = z
  .object({
    host: z.string(),
    zone: z.string(),
    address: z.string(),
    operatorPort: z.number(),
    member: z.boolean(),
  })
  .readonly();

const warningStatusSchema = z
  .object({
    condition: z.enum(CONDITION_NAMES),
    subject: z.string(),
    detail: z.string(),
    /** Milliseconds for which the condition had held when the response was made. */
    heldMs: z.number(),
  })
  .readonly();

/** Schema of the response to `GET /status`. */
export const gatewayStatusSchema = z
  .object({
    host: z.string(),
    software: z.string(),
    ready: z.boolean(),
    /** Why the gateway is not ready; empty when it is. */
    reason: z.string(),
    /** Epoch of the fleet record; null before the first record is received. */
    epoch: z.number().nullable(),
    sheetVersion: z.number().nullable(),
    sheetFingerprint: z.string().nullable(),
    publishedVersion: z.number().nullable(),
    callsInFlight: z.number(),
    zones: z.array(zoneStatusSchema).readonly(),
    hosts: z.array(hostStatusSchema).readonly(),
    targets: z.array(targetStatusSchema).readonly(),
    warnings: z.array(warningStatusSchema).readonly(),
  })
  .readonly();

/** Status of one gateway and its view of the fleet. */
export type GatewayStatus = z.output<typeof gatewayStatusSchema>;
