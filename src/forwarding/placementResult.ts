import { type Result } from 'ts-results';

import { type PlacementFailure } from './placementFailure';
import { type Answer } from './transmission';

/** Result of a placement: the answer of a target, or why there is none. */
export type PlacementResult = Result<Answer, PlacementFailure>;
