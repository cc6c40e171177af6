import { type RefusalReason } from './refusalReason';

/** What becomes of a call at this moment. */
export type Placement =
  | {
      readonly kind: 'send';
      readonly target: string;
      readonly expectedMs: number;
      readonly reason: PlacementReason;
      /** The target has a free slot beyond the one that the call takes. */
      readonly hasRoom: boolean;
    }
  | {
      readonly kind: 'wait' | 'refuse';
      readonly reason: RefusalReason;
      /** The target that would have been chosen; null when none may be used. */
      readonly best: string | null;
    };

/** Which rule chose the target. */
export type PlacementReason = 'quickestNear' | 'quickestFar' | 'leastBad' | 'onlyCold';
