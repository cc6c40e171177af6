import { type Ledger } from '../catalog';
import { type Exchange } from '../exchange';
import { type Freshness } from '../freshness';
import { type AnswerHistory, CatalogReader, mustRead, SOURCE_EVENTS } from '../source';

import { type BalancerParts } from './balancerParts';
import { BALANCER_METRICS } from './metrics';
import { sourceReports } from './sourceReports';

// Keeps the line short when every row of a table is unreadable.
const MAX_LOGGED_REMARKS = 5;

/** What the reader fills and tells, and whether this host is stopping. */
export interface ReaderSinks {
  readonly ledger: Ledger;
  readonly exchange: Exchange;
  readonly freshness: Freshness;
  readonly answers: AnswerHistory;
  readonly isStopping: () => boolean;
}

/** The reader of the source of the catalog; it reads while no other host of the zone does. */
export function makeReader(
  { clock, random, events, settings, adapter, metrics }: BalancerParts,
  { ledger, exchange, freshness, answers, isStopping }: ReaderSinks,
): CatalogReader {
  const hostId = settings['host-id'];
  const startedAt = clock.now();
  return new CatalogReader({
    ...{ clock, random, events, ledger, answers },
    source: adapter.openSource(settings.source, clock, events),
    removalApplyMs: settings['removal-apply-ms'],
    mustRead: () =>
      mustRead({
        hostId,
        isStopping: isStopping(),
        isFirstStart: settings['first-start'],
        knowsConfiguration: ledger.catalog().configuration !== null,
        uptimeMs: clock.now() - startedAt,
        neighbours: sourceReports(exchange.membership),
      }),
    onChanges: (changes, changedRecords) => {
      metrics.increment(BALANCER_METRICS.sourceAnswers);
      // Sends all records, not only the changed ones: a host that applies the changes regards its
      // catalog as complete up to their revision.
      exchange.broadcastChanges(changes);
      for (const { key, fact, revision, remarks = [] } of changedRecords) {
        events.emit(SOURCE_EVENTS.changed, {
          key,
          revision,
          kind: fact?.kind ?? 'nothing usable',
        });
        if (remarks.length > 0)
          events.emit(SOURCE_EVENTS.partlyUsed, {
            ...{ key, revision, count: remarks.length },
            remarks: remarks.slice(0, MAX_LOGGED_REMARKS),
          });
      }
    },
    onRequest: () => freshness.beginRequest(),
    onStateChange: () => exchange.announce(),
  });
}
