import { type Owner } from '../fleet';

/** Where the entry sends a call: its own targets, or those of another owner. */
export interface Choice {
  readonly owner: Owner;
  readonly own: boolean;
  readonly reason: string;
  readonly candidates: number;
}
