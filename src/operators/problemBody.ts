import * as z from 'zod';

const sheetErrorSchema = z
  .object({ row: z.number(), section: z.string(), field: z.string(), message: z.string() })
  .readonly();

/** Schema of the problems (RFC 9457) that the operators' interface answers with. */
export const problemBodySchema = z
  .object({
    type: z.string(),
    title: z.string(),
    status: z.number(),
    detail: z.string(),
    /** Mistakes of a refused sheet. */
    errors: z.array(sheetErrorSchema).readonly().optional(),
  })
  .readonly();

/** A problem of the operators' interface. */
export type ProblemBody = z.output<typeof problemBodySchema>;
