import { inspect } from 'node:util';

/** Log fields of an error; anything can be thrown. */
export function describeError(error: unknown): { reason: string; stack?: string } {
  const { message, stack } = error instanceof Error ? error : new Error(inspect(error));
  return { reason: message, stack };
}
