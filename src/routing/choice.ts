import { type Owner } from '../fleet';

/** How a call sent to an owner ended, as seen by the entry host. */
export type PlacementEnd = 'answered' | 'refused' | 'failed';

/** The owner to which the entry host sends a call: this host itself or another one. */
export interface Choice {
  readonly owner: Owner;
  readonly own: boolean;
  readonly reason: string;
  readonly candidates: number;
  /**
   * Counts the call as outstanding at the owner until the returned function is called; further
   * calls of that function have no effect.
   */
  begin(): (end: PlacementEnd) => void;
}
