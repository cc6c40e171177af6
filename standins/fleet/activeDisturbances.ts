import { type Clock } from '../../src/runtime';

import { type ModelDisturbance } from './modelOptions';

/** The disturbances of a run that are active at the current time. */
export class ActiveDisturbances {
  constructor(
    private readonly clock: Clock,
    private readonly disturbances: readonly ModelDisturbance[],
  ) {}

  /** Active disturbances of a kind. */
  active<Kind extends ModelDisturbance['kind']>(
    kind: Kind,
  ): readonly Extract<ModelDisturbance, { kind: Kind }>[] {
    const seconds = this.clock.now() / 1000;
    return this.disturbances.filter(
      (disturbance): disturbance is Extract<ModelDisturbance, { kind: Kind }> =>
        disturbance.kind === kind && disturbance.at <= seconds && seconds < disturbance.until,
    );
  }

  /** Multiplier of the usual call rate of a kind of calls. */
  loadFactor(kind: string): number {
    return this.active('burst')
      .filter(({ only = kind }) => only === kind)
      .reduce((factor, burst) => factor * burst.factor, 1);
  }
}
