import { type Ledger } from '../catalog';
import { type ProbeTable } from '../delivery';
import { runEvery } from '../runtime';

import { type Addresses } from './addresses';
import { type BalancerParts } from './balancerParts';
import { BALANCER_EVENTS } from './events';
import { type FleetKnowledge } from './fleetKnowledge';
import { BALANCER_METRICS } from './metrics';

// Period of work that no event triggers: assigning health checks, detecting lost targets, gauges.
const TICK_MS = 100;

/** What is refreshed and measured periodically. */
export interface Ticked {
  readonly ledger: Ledger;
  readonly knowledge: FleetKnowledge;
  readonly probes: ProbeTable;
  readonly addresses: Addresses;
}

function reportCatalog({ metrics }: BalancerParts, ledger: Ledger): void {
  const { asOf, configuration, targets } = ledger.catalog();
  metrics.gauge(BALANCER_METRICS.asOf, asOf);
  metrics.gauge(BALANCER_METRICS.newest, ledger.newestRevision());
  metrics.gauge(BALANCER_METRICS.version, configuration?.version ?? 0);
  metrics.gauge(BALANCER_METRICS.targets, targets.size);
}

/** Starts the periodic work; the result stops it. */
export function startTicks(parts: BalancerParts, ticked: Ticked): () => void {
  const { clock, metrics, events, droppedLines } = parts;
  const { ledger, knowledge, probes, addresses } = ticked;
  const { exchange, subsets } = knowledge;
  let expectedAt = clock.now() + TICK_MS;
  let reportedDrops = 0;
  return runEvery(clock, TICK_MS, () => {
    metrics.timing(BALANCER_METRICS.loopDelay, Math.max(0, clock.now() - expectedAt));
    knowledge.refreshInFlightCounts();
    if (subsets.refresh()) probes.assign();
    knowledge.confirmTargets((target) => probes.check(target));
    metrics.gauge(BALANCER_METRICS.awaitedAddresses, addresses.waitingFor().length);
    metrics.gauge(BALANCER_METRICS.hosts, exchange.membership.live().length);
    reportCatalog(parts, ledger);
    metrics.gauge(BALANCER_METRICS.linesDropped, droppedLines());
    if (droppedLines() > reportedDrops) {
      events.emit(BALANCER_EVENTS.linesDropped, { lines: droppedLines() - reportedDrops });
      reportedDrops = droppedLines();
    }
    expectedAt = clock.now() + TICK_MS;
  });
}
