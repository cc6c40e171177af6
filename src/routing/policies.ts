import { type DirectPick } from './directPool';

/** Name of a routing policy: a value of the setting `policy`. */
export type PolicyName = 'owner' | 'local-least-loaded' | 'naive';

/** How a policy routes calls. */
export interface Policy {
  /** Picks a target without ownership and limits; null when calls go through the owners. */
  readonly direct: DirectPick | null;
}

/** Routing policies; all except `owner` are baselines for comparison. */
export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  owner: { direct: null },
  'local-least-loaded': {
    direct: (targets, _callNumber, random) => {
      const first = targets[random.integer(targets.length)]!;
      const second = targets[random.integer(targets.length)]!;
      return second.inFlight < first.inFlight ? second : first;
    },
  },
  naive: { direct: (targets, callNumber) => targets[callNumber % targets.length]! },
};
