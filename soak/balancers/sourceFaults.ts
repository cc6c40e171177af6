import { type StoreMode } from '../../standins/store/storeStandin';

import { type BalancerFault, type BalancerFaultContext } from './balancerFault';

const MODES: readonly StoreMode[] = ['busy', 'tooMany', 'silent', 'reset', 'loses'];
const MIN_AWAY_MS = 500;
const AWAY_RANGE_MS = 3500;
const MAX_DELAY_MS = 1500;
const MAX_EXTRA_ROUTES = 40;

function lengthOf({ random }: BalancerFaultContext): number {
  return MIN_AWAY_MS + random.integer(AWAY_RANGE_MS);
}

// A host that starts meanwhile may have no other way to learn the configuration.
function beginObstacles({ hosts }: BalancerFaultContext): () => void {
  const ends = hosts.map((host) => host.beginObstacle());
  return () => ends.forEach((end) => end());
}

const away: BalancerFault = async (context) => {
  const { fleet, random, sleep } = context;
  const mode = MODES[random.integer(MODES.length)]!;
  const awayMs = lengthOf(context);
  context.note(`${mode} for ${awayMs} ms`);
  const endObstacles = beginObstacles(context);
  fleet.platform.store.setMode(mode);
  await sleep(awayMs);
  fleet.platform.store.setMode('well');
  endObstacles();
};

const slow: BalancerFault = async (context) => {
  const { fleet, random, sleep } = context;
  const delayMs = random.integer(MAX_DELAY_MS);
  const slowMs = lengthOf(context);
  context.note(`${delayMs} ms an answer for ${slowMs} ms`);
  const endObstacles = beginObstacles(context);
  fleet.platform.store.delayMs = delayMs;
  await sleep(slowMs);
  fleet.platform.store.delayMs = 0;
  endObstacles();
};

const forgets: BalancerFault = (context) => {
  context.note('');
  context.fleet.platform.store.compactHistory();
  return Promise.resolve();
};

const changes: BalancerFault = async (context) => {
  const { fleet, random, sleep } = context;
  const count = 1 + random.integer(6);
  context.note(`${count} times`);
  for (let changed = 0; changed < count; changed += 1) {
    fleet.publish(random.integer(MAX_EXTRA_ROUTES));
    await sleep(random.integer(400));
  }
};

/** Faults of the keys of callers, by name. */
export const KEY_FAULTS: Readonly<Record<string, BalancerFault>> = {
  'key replaced': ({ fleet, random, note }) => {
    note(fleet.replaceKey(random) ?? 'none');
    return Promise.resolve();
  },
};

/** Faults of the store, and changes of the configuration in it, by name. */
export const SOURCE_FAULTS: Readonly<Record<string, BalancerFault>> = {
  'store away': away,
  'store slow': slow,
  'store forgets': forgets,
  'configuration changes': changes,
};
