import * as z from 'zod';

/** Schema of the status of a target that the gateway owns. */
export const targetStatusSchema = z
  .object({
    target: z.string(),
    service: z.string(),
    zone: z.string(),
    inFlight: z.number(),
    limit: z.number(),
    slots: z.number(),
    state: z.enum(['warm', 'cold', 'ramping', 'suspected', 'leaving', 'out-of-service', 'waiting']),
  })
  .readonly();

/** Status of a target as reported by its owner. */
export type TargetStatus = z.output<typeof targetStatusSchema>;
