import { type Condition } from './condition';
import { type ConditionName } from './conditionName';

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;

// Longer than the takeover of the targets of a failed gateway: 3 s, then 2 s, then the time limit.
const CAPACITY_HOLD_MS = 30 * SECOND_MS;

/** The conditions by name; docs/operating.md must contain the same texts. */
export const CONDITIONS: Readonly<Record<ConditionName, Condition>> = {
  'zone-without-capacity': {
    meaning: 'No target of an availability zone that is in service can take calls.',
    action:
      'Check the machines and the network of the zone. Take the zone out of service when the repair takes long.',
    clearedBy: 'A target of the zone takes calls again, or the zone is taken out of service.',
    holdMs: CAPACITY_HOLD_MS,
  },
  'service-without-capacity': {
    meaning: 'No target of a service can take calls in any zone, and its calls are refused.',
    action: 'Check the targets of the service and its last release; start or replace them.',
    clearedBy: 'A target of the service takes calls again.',
    holdMs: CAPACITY_HOLD_MS,
  },
  'quorum-lost': {
    meaning: 'This gateway reaches fewer than half of the voting hosts and refuses calls.',
    action:
      'Check the network between the zones and start the gateways that are down. Orders are accepted again when a majority is reachable.',
    clearedBy: 'A majority of the voting hosts is reachable.',
    holdMs: MINUTE_MS,
  },
  'configuration-stale': {
    meaning: 'The configuration service is down, or serves an older version than before.',
    action:
      'Tell the owners of the service. The sheet stays in force; load an urgent one with `limpetknotctl sheet load`.',
    clearedBy: 'The service serves a version that is not older than the newest one read.',
    holdMs: 30 * MINUTE_MS,
  },
  'sheet-invalid': {
    meaning: 'The published sheet has mistakes, so the earlier one stays in force.',
    action: 'Run `limpetknotctl sheet check` on it and publish a corrected sheet.',
    clearedBy: 'A valid sheet is published.',
    holdMs: 0,
  },
  'sheet-not-published': {
    meaning: 'The sheet in force was loaded by an operator and has not been published.',
    action: 'Publish the sheet in force; `limpetknotctl sheet show` prints it.',
    clearedBy: 'The service publishes the version in force or a later one.',
    holdMs: 30 * MINUTE_MS,
  },
  'version-conflict': {
    meaning: 'One sheet version was published or loaded with two different contents.',
    action:
      'Compare the published sheet with `limpetknotctl sheet show` and publish the right content under a higher version.',
    clearedBy: 'The service publishes the content in force, or a higher version.',
    holdMs: 0,
  },
  'call-crashes-targets': {
    meaning: 'A call made two targets crash and is now refused.',
    action: 'Find the call in the log by its fingerprint, and correct the service or the caller.',
    clearedBy: 'The call was not seen for as long as a fingerprint is kept.',
    holdMs: 0,
  },
};
