import { type Clock } from '../../src/runtime';

import { type ModelTrouble } from './modelOptions';

/** The troubles of a run that are active at the moment. */
export class ModelTroubles {
  constructor(
    private readonly clock: Clock,
    private readonly troubles: readonly ModelTrouble[],
  ) {}

  /** The active troubles of a kind. */
  of<Kind extends ModelTrouble['kind']>(
    kind: Kind,
  ): readonly Extract<ModelTrouble, { kind: Kind }>[] {
    const seconds = this.clock.now() / 1000;
    return this.troubles.filter(
      (trouble): trouble is Extract<ModelTrouble, { kind: Kind }> =>
        trouble.kind === kind && trouble.at <= seconds && seconds < trouble.until,
    );
  }

  /** How many times the usual calls there are. */
  burst(): number {
    return this.of('burst').reduce((factor, burst) => factor * burst.factor, 1);
  }
}
