import { type DirectPick } from './directPool';

/** Name of a routing policy; the values of the setting `policy`. */
export type PolicyName = 'owner' | 'local-least-loaded' | 'naive';

/** How a policy places calls. */
export interface Policy {
  /** Picks a target without ownership and limits; null when calls go through the owners. */
  readonly direct: DirectPick | null;
}

/** Routing policies; all but `owner` are baselines for comparison. */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  owner: { direct: null },
  'local-least-loaded': {
    direct: (targets, _turn, random) => {
      const first = targets[random.integer(targets.length)]!;
      const second = targets[random.integer(targets.length)]!;
      return second.inFlight < first.inFlight ? second : first;
    },
  },
  naive: { direct: (targets, turn) => targets[turn % targets.length]! },
};
