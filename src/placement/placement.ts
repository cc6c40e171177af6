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
  | { readonly kind: 'wait'; readonly reason: RefusalReason }
  | { readonly kind: 'refuse'; readonly reason: RefusalReason };

/** Which rule chose the target. */
export type PlacementReason = 'quickestNear' | 'quickestFar' | 'leastBad' | 'onlyCold';
