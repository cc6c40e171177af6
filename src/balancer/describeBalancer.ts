import { type Catalog } from '../catalog';
import { type KnownHost } from '../exchange';
import { type ProofState } from '../freshness';
import { type TargetStatisticsTable, type TargetSubsets } from '../knowledge';
import { type Quotas } from '../quota';
import { type Clock } from '../runtime';
import { type BalancerSettings } from '../settings';
import { type SourceState } from '../source';

/** Inputs of the status of a host. */
export interface StatusInput {
  readonly settings: BalancerSettings;
  readonly clock: Clock;
  readonly catalog: Catalog;
  readonly targetStates: TargetStatisticsTable;
  readonly subsets: TargetSubsets;
  readonly hosts: readonly KnownHost[];
  readonly source: { readonly state: SourceState; readonly lastAnswerAt: number };
  /** Null while callers need no keys. */
  readonly proof: ProofState | null;
  readonly isReady: boolean;
  /** Settings of the addresses that are not open yet. */
  readonly waitingFor: readonly string[];
  /** The quotas of tenants that this host owns. */
  readonly quotas: ReturnType<Quotas['describe']>;
}

function age(now: number, at: number): number | null {
  return Number.isFinite(at) ? Math.round(now - at) : null;
}

/**
 * The status of a host for operators; the property names are those of the answer. Ages are in
 * milliseconds, null for what was never received.
 */
export function describeBalancer(input: StatusInput) {
  const { settings, clock, catalog, targetStates, subsets, hosts, source } = input;
  const { proof, isReady, waitingFor } = input;
  const now = clock.now();
  return {
    host: settings['host-id'],
    zone: settings.zone,
    isReady,
    waitingFor,
    sharesOutTargets: subsets.isActive(),
    catalog: {
      asOf: catalog.asOf,
      version: catalog.configuration?.version ?? null,
      routes: catalog.configuration?.routes.length ?? 0,
      zonesOut: [...catalog.zonesOut],
    },
    quotas: input.quotas,
    source: { state: source.state, lastAnswerAge: age(now, source.lastAnswerAt) },
    proof,
    hosts: hosts.map((host) => ({
      id: host.id,
      zone: host.zone,
      ip: host.ip,
      asOf: host.asOf,
      source: host.source,
      heardAge: age(now, host.receivedAt),
    })),
    targets: [...catalog.targets.values()].map((target) => {
      const targetState = targetStates.get(target.id);
      return {
        id: target.id,
        service: target.service,
        zone: target.zone,
        state: target.state,
        isPreferred: subsets.has(target.id),
        isChecked: subsets.isProber(target.id),
        pace: targetState?.pace ?? null,
        paceAge: targetState === undefined ? null : age(now, targetState.paceAt),
        load: targetState === undefined ? null : targetStates.load(targetState),
        loadAge: targetState === undefined ? null : age(now, targetState.loadAt),
        isCold: targetState !== undefined && targetState.coldUntil > now,
        isLost: targetState !== undefined && targetState.lostAt > targetState.confirmedHealthyAt,
      };
    }),
  };
}
