import { type Owner } from '../fleet';

/** How a placement at an owner ended, as the entry saw it. */
export type PlacementEnd = 'answered' | 'refused' | 'failed';

/** Where the entry sends a call: its own targets, or those of another owner. */
export interface Choice {
  readonly owner: Owner;
  readonly own: boolean;
  readonly reason: string;
  readonly candidates: number;
  /** Counts the call as outstanding at the owner; the returned function ends that, once. */
  begin(): (end: PlacementEnd) => void;
}
