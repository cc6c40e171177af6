import { type Catalog } from '../catalog';
import { type KnownHost } from '../exchange';
import { type KnowledgeTable } from '../knowledge';
import { type Clock } from '../runtime';
import { type BalancerSettings } from '../settings';
import { type SourceState } from '../source';

/** What the status of a host is made from. */
export interface StatusInput {
  readonly settings: BalancerSettings;
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly knowledge: KnowledgeTable;
  readonly hosts: readonly KnownHost[];
  readonly source: { readonly state: SourceState; readonly lastAnswer: number };
  readonly isReady: boolean;
}

function age(now: number, at: number): number | null {
  return Number.isFinite(at) ? Math.round(now - at) : null;
}

/** The status of a host for operators; ages in milliseconds, null for what was never seen. */
export function describeBalancer(input: StatusInput) {
  const { settings, clock, catalog, knowledge, hosts, source, isReady } = input;
  const now = clock.now();
  return {
    host: settings['host-id'],
    zone: settings.zone,
    isReady,
    catalog: {
      asOf: catalog.asOf,
      version: catalog.configuration?.version ?? null,
      routes: catalog.configuration?.routes.length ?? 0,
      zonesOut: [...catalog.zonesOut],
    },
    source: { state: source.state, lastAnswerAge: age(now, source.lastAnswer) },
    hosts: hosts.map((host) => ({
      id: host.id,
      zone: host.zone,
      asOf: host.asOf,
      source: host.source,
      heardAge: age(now, host.heardAt),
    })),
    targets: [...catalog.targets.values()].map((target) => {
      const held = knowledge.get(target.id);
      return {
        id: target.id,
        service: target.service,
        zone: target.zone,
        state: target.state,
        pace: held?.pace ?? null,
        paceAge: held === undefined ? null : age(now, held.paceAt),
        load: held === undefined ? null : knowledge.load(held),
        loadAge: held === undefined ? null : age(now, held.loadAt),
        isCold: held !== undefined && held.coldUntil > now,
        isLost: held !== undefined && held.lostAt > held.soundAt,
      };
    }),
  };
}
