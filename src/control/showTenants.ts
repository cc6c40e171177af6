import { type ControlContext } from './controlContext';
import { EXIT } from './exitCode';
import { formatColumns } from './formatColumns';
import { queryBalancers, type QueriedBalancer } from './queryBalancers';

const BALANCER_ADDRESS = /^(\d+\.\d+\.\d+\.\d+|\[[0-9a-f:]+\]):\d+$/;

/** Use of a tenant's quota over all hosts that answered. */
interface QuotaUse {
  readonly tenant: string;
  /** Hosts that own the quota; more than one only while ownership moves or the fleet is partitioned. */
  readonly owners: readonly string[];
  /** Calls granted since each owner became one. */
  readonly granted: number;
  readonly tokens: number;
  readonly isRestricted: boolean;
}

function sumQuotas(balancers: readonly QueriedBalancer[]): readonly QuotaUse[] {
  const uses = new Map<string, QuotaUse>();
  for (const { host, status } of balancers)
    for (const { tenant, granted, tokens, isRestricted } of status?.quotas ?? []) {
      const sum = uses.get(tenant);
      uses.set(tenant, {
        tenant,
        owners: [...(sum?.owners ?? []), host],
        granted: (sum?.granted ?? 0) + granted,
        tokens: (sum?.tokens ?? 0) + tokens,
        isRestricted: isRestricted || sum?.isRestricted === true,
      });
    }
  return [...uses.values()].sort((left, right) => (left.tenant < right.tenant ? -1 : 1));
}

function seconds(milliseconds: number): string {
  return `${(milliseconds / 1000).toFixed(1)} s`;
}

function balancerRow({ host, zone, status, error }: QueriedBalancer): readonly string[] {
  if (status === null) return [host, zone, `no answer: ${error}`, '-', '-'];
  const { proof } = status;
  if (proof === null) return [host, zone, 'no tenants', '-', '-'];
  const state = proof.mayUseKeys ? 'used' : 'REFUSED';
  return [
    host,
    zone,
    state,
    seconds(proof.leftMs),
    proof.ageMs === null ? '-' : seconds(proof.ageMs),
  ];
}

function formatTenants(balancers: readonly QueriedBalancer[], quotas: readonly QuotaUse[]): string {
  const hosts = formatColumns([
    ['HOST', 'ZONE', 'KEYS', 'FOR ANOTHER', 'AGE OF PROOF'],
    ...balancers.map(balancerRow),
  ]);
  if (quotas.length === 0) return `${hosts}\n\nNo quotas of tenants.`;
  const rows = quotas.map(({ tenant, owners, granted, tokens, isRestricted }) => [
    tenant,
    owners.join(', '),
    String(granted),
    String(tokens),
    isRestricted ? 'yes' : 'no',
  ]);
  const header = ['TENANT', 'OWNER', 'CALLS GRANTED', 'TOKENS LEFT', 'RESTRICTED'];
  return `${hosts}\n\n${formatColumns([header, ...rows])}`;
}

/** Runs `tenants ADDRESS:PORT`: queries all hosts of the balancer, beginning at one control address. */
export async function showTenants(
  { io, settings, client }: ControlContext,
  address: string,
): Promise<number> {
  if (!BALANCER_ADDRESS.test(address)) {
    io.err(`limpetknotctl: '${address}' is not an ADDRESS:PORT\n`);
    return EXIT.usage;
  }
  const balancers = await queryBalancers(client, address);
  if (balancers.every(({ status }) => status === null)) {
    for (const { error } of balancers) io.err(`${error}\n`);
    io.err('no host could be reached\n');
    return EXIT.unreachable;
  }
  const quotas = sumQuotas(balancers);
  const text = settings.json
    ? JSON.stringify({ balancers, quotas })
    : formatTenants(balancers, quotas);
  io.out(`${text}\n`);
  return EXIT.done;
}
