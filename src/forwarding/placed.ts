import { type Result } from 'ts-results';

import { type PlacementFailure } from './placementFailure';
import { type Answer } from './transmission';

/** Outcome of one placement of a call. */
export type Placed = Result<Answer, PlacementFailure>;
