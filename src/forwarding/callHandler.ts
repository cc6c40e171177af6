import { type Call } from './call';
import { type PlacementResult } from './placementResult';

/** Runs a caller's call until it has an answer or has failed. */
export type CallHandler = (call: Call) => Promise<PlacementResult>;
