import { type RefusalReason } from './refusalReason';

/** Decision on a call: it is sent to a target, waits, or is refused. */
export type Placement =
  | {
      readonly kind: 'send';
      readonly target: string;
      readonly expectedMs: number;
      readonly reason: PlacementReason;
      /** Whether the target has a free slot for it that no other call needs. */
      readonly hasFreeSlot: boolean;
      /** Whether it has one and can answer within the objective. */
      readonly hasRoom: boolean;
    }
  | {
      readonly kind: 'wait' | 'refuse';
      readonly reason: RefusalReason;
      /** The target that would have been chosen; null if none is usable. */
      readonly best: string | null;
    };

/** The rule that chose the target. */
export type PlacementReason = 'quickestNear' | 'quickestFar' | 'leastBad' | 'onlyCold';
