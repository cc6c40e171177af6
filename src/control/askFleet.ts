import { type GatewayStatus, gatewayStatusSchema } from '../operators';

import { type AskedGateway, type FleetStatus } from './fleetStatus';
import { type GatewayClient } from './gatewayClient';
import { reading } from './gatewayRequest';
import { parseAnswer, parseProblem } from './parseAnswer';

type ListedHost = GatewayStatus['hosts'][number];

// Bounds the connections that one status command opens in a fleet of hundreds of hosts.
const ASKED_AT_ONCE = 32;

function operatorAddress({ address, operatorPort }: ListedHost): string {
  return `${address.includes(':') ? `[${address}]` : address}:${operatorPort}`;
}

async function askHost(client: GatewayClient, listed: ListedHost): Promise<AskedGateway> {
  const { host, zone } = listed;
  const answer = await client.send(operatorAddress(listed), reading('/status'));
  if (answer.err) return { host, zone, status: null, error: answer.val.detail };
  const status = parseAnswer(answer.val, gatewayStatusSchema);
  if (status === null) return { host, zone, status, error: parseProblem(answer.val).detail };
  if (status.host !== host) {
    return { host, zone, status: null, error: `another host answered: ${status.host}` };
  }
  return { host, zone, status, error: '' };
}

/** Asks all hosts that `first` lists; `first` itself is not asked again. */
export async function askFleet(client: GatewayClient, first: GatewayStatus): Promise<FleetStatus> {
  const gateways: AskedGateway[] = [];
  for (let start = 0; start < first.hosts.length; start += ASKED_AT_ONCE) {
    const group = first.hosts.slice(start, start + ASKED_AT_ONCE).map((listed) => {
      if (listed.host !== first.host) return askHost(client, listed);
      return { host: listed.host, zone: listed.zone, status: first, error: '' };
    });
    gateways.push(...(await Promise.all(group)));
  }
  const latest = gateways.reduce(
    (best, { status }) =>
      status !== null && (status.epoch ?? 0) > (best.epoch ?? 0) ? status : best,
    first,
  );
  return { latest, gateways };
}
