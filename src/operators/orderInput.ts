import * as z from 'zod';

/** Schema of an order id, by which a retried order is recognised. */
export const orderIdSchema = z
  .string()
  .regex(/^[A-Za-z0-9-]{1,64}$/, 'must be letters, digits and dashes, 1 to 64 long');

/** Schema of the body of an order about an availability zone. */
export const zoneOrderSchema = z.strictObject({
  id: orderIdSchema,
  zone: z.string().min(1).max(63),
  force: z.boolean().default(false),
});

/** Schema of the response to an accepted order. */
export const acceptanceSchema = z
  .object({ orderId: z.string(), epoch: z.number(), unchanged: z.boolean() })
  .readonly();
