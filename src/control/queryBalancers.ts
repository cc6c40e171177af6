import * as z from 'zod';

import { type GatewayClient } from './gatewayClient';
import { getRequest } from './gatewayRequest';
import { parseAnswer, parseProblem } from './parseAnswer';

// Limits the connections that one command opens in a fleet of hundreds of hosts.
const MAX_CONCURRENT_QUERIES = 32;

const balancerStatusSchema = z.object({
  host: z.string(),
  zone: z.string(),
  /** Null while the configuration has no tenants. */
  proof: z
    .object({ ageMs: z.number().nullable(), leftMs: z.number(), mayUseKeys: z.boolean() })
    .nullable(),
  hosts: z.array(z.object({ id: z.string(), zone: z.string(), ip: z.string() })),
  quotas: z.array(
    z.object({
      tenant: z.string(),
      isRestricted: z.boolean(),
      tokens: z.number(),
      granted: z.number(),
    }),
  ),
});

/** What the command uses of the status of a host of the balancer. */
export type BalancerStatus = z.output<typeof balancerStatusSchema>;

/** A host of the balancer with its status, or the reason why it is missing. */
export interface QueriedBalancer {
  readonly host: string;
  readonly zone: string;
  readonly status: BalancerStatus | null;
  /** Empty when the host returned its status. */
  readonly error: string;
}

interface ListedBalancer {
  readonly host: string;
  readonly zone: string;
  readonly address: string;
}

async function queryBalancer(
  client: GatewayClient,
  { host, zone, address }: ListedBalancer,
): Promise<QueriedBalancer> {
  const answer = await client.send(address, getRequest('/status'));
  if (answer.err) return { host, zone, status: null, error: answer.val.detail };
  const status = parseAnswer(answer.val, balancerStatusSchema);
  if (status === null) return { host, zone, status, error: parseProblem(answer.val).detail };
  return { host: status.host, zone: status.zone, status, error: '' };
}

/**
 * Queries the host at a control address, and all hosts that it and the others list: of a large zone, hosts of
 * other zones list some hosts only. All hosts use the same control port.
 */
export async function queryBalancers(
  client: GatewayClient,
  firstAddress: string,
): Promise<readonly QueriedBalancer[]> {
  const port = firstAddress.slice(firstAddress.lastIndexOf(':') + 1);
  const balancers: QueriedBalancer[] = [];
  const waiting: ListedBalancer[] = [{ host: firstAddress, zone: '-', address: firstAddress }];
  const listed = new Set([firstAddress]);
  while (waiting.length > 0) {
    const batch = waiting.splice(0, MAX_CONCURRENT_QUERIES);
    const answers = await Promise.all(batch.map((next) => queryBalancer(client, next)));
    balancers.push(...answers);
    for (const { id, zone, ip } of answers.flatMap(({ status }) => status?.hosts ?? [])) {
      const address = `${ip.includes(':') ? `[${ip}]` : ip}:${port}`;
      if (!listed.has(address)) waiting.push({ host: id, zone, address });
      listed.add(address);
    }
  }
  return balancers;
}
