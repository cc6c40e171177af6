import { type GatewayStatus, gatewayStatusSchema } from '../operators';

import { type QueriedGateway, type FleetStatus } from './fleetStatus';
import { type GatewayClient } from './gatewayClient';
import { getRequest } from './gatewayRequest';
import { parseAnswer, parseProblem } from './parseAnswer';

type ListedHost = GatewayStatus['hosts'][number];

// Limits the connections that one status command opens in a fleet of hundreds of hosts.
const MAX_CONCURRENT_QUERIES = 32;

function operatorAddress({ address, operatorPort }: ListedHost): string {
  return `${address.includes(':') ? `[${address}]` : address}:${operatorPort}`;
}

async function queryHost(client: GatewayClient, listed: ListedHost): Promise<QueriedGateway> {
  const { host, zone } = listed;
  const answer = await client.send(operatorAddress(listed), getRequest('/status'));
  if (answer.err) return { host, zone, status: null, error: answer.val.detail };
  const status = parseAnswer(answer.val, gatewayStatusSchema);
  if (status === null) return { host, zone, status, error: parseProblem(answer.val).detail };
  if (status.host !== host) {
    return { host, zone, status: null, error: `another host answered: ${status.host}` };
  }
  return { host, zone, status, error: '' };
}

/** Queries all hosts listed in `first`, except the host that returned `first`. */
export async function queryFleet(
  client: GatewayClient,
  first: GatewayStatus,
): Promise<FleetStatus> {
  const gateways: QueriedGateway[] = [];
  for (let start = 0; start < first.hosts.length; start += MAX_CONCURRENT_QUERIES) {
    const batch = first.hosts.slice(start, start + MAX_CONCURRENT_QUERIES).map((listed) => {
      if (listed.host !== first.host) return queryHost(client, listed);
      return { host: listed.host, zone: listed.zone, status: first, error: '' };
    });
    gateways.push(...(await Promise.all(batch)));
  }
  const latest = gateways.reduce(
    (best, { status }) =>
      status !== null && (status.epoch ?? 0) > (best.epoch ?? 0) ? status : best,
    first,
  );
  return { latest, gateways };
}
