import * as z from 'zod';

const sheetErrorSchema = z
  .object({ row: z.number(), section: z.string(), field: z.string(), message: z.string() })
  .readonly();

/** Schema of the problem responses (RFC 9457) of the operators' interface. */
export const problemBodySchema = z
  .object({
    type: z.string(),
    title: z.string(),
    status: z.number(),
    detail: z.string(),
    /** Errors in a refused sheet. */
    errors: z.array(sheetErrorSchema).readonly().optional(),
  })
  .readonly();

/** Problem response of the operators' interface. */
export type ProblemBody = z.output<typeof problemBodySchema>;
