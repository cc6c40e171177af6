import { type Context } from 'hono';

/** The answer of a route. */
export type Answer = Context['res'];
