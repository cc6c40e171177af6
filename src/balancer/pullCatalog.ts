import { type CatalogChanges, readChanges } from '../catalog';
import { EXCHANGE_EVENTS, type HostAddress } from '../exchange';
import { type EventSink } from '../logging';
import { type Clock } from '../runtime';
import { JsonClient } from '../transport';

// Time until the first byte of the reply.
const PULL_TIMEOUT_MS = 600;

/** Dependencies of `pullCatalog`. */
export interface PullParts {
  readonly clock: Clock;
  readonly events: EventSink;
  /** Port of the control address, which is the same on all hosts. */
  readonly port: string;
}

/** Reads the catalog changes after a revision from another host; null when that fails. */
export async function pullCatalog(
  { clock, events, port }: PullParts,
  host: HostAddress,
  after: number,
): Promise<CatalogChanges | null> {
  const client = new JsonClient(`http://${host.ip}:${port}`, clock);
  const reply = await client.get(`/catalog?after=${after}`, clock.now() + PULL_TIMEOUT_MS);
  client.close();
  const isServed = reply.ok && reply.val.status === 200;
  const changes = isServed ? readChanges(reply.val.body, clock.now()) : null;
  if (changes !== null) return changes;
  const reason = reply.ok ? `status ${reply.val.status}` : reply.val.message;
  events.emit(EXCHANGE_EVENTS.pullFailed, { peer: host.id, after, reason });
  return null;
}
