import * as z from 'zod';

/** Schema of what a gateway tells about a target that it owns. */
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

/** A target as its owner sees it. */
export type TargetStatus = z.output<typeof targetStatusSchema>;
