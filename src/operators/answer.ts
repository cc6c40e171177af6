import { type Context } from 'hono';

/** HTTP response of a route. */
export type Answer = Context['res'];
