import { type Call } from './call';
import { type Placed } from './placed';

/** Runs a call of a caller to its answer or failure. */
export type EntryRun = (call: Call) => Promise<Placed>;
