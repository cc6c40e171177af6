import { type Agent } from 'undici';

import { type SheetSource } from '../fleet';
import { type EventLog } from '../logging';
import { type PeerTransport } from '../peer';
import { readConfiguration } from '../published';
import { type Clock, waitUntil } from '../runtime';
import { type GatewaySettings } from '../settings';
import { parseSheet, type Sheet } from '../sheet';

import { GATEWAY_EVENTS } from './events';

/** Dependencies of the search for an initial sheet. */
export interface StartSheetParts {
  readonly settings: GatewaySettings;
  readonly transport: PeerTransport;
  readonly sheets: SheetSource;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dispatcher: Agent;
}

const RETRY_INTERVAL_MS = 500;

async function readPublishedSheet(
  parts: StartSheetParts,
  signal: AbortSignal,
): Promise<Sheet | null> {
  const { dispatcher, events, settings } = parts;
  const published = await readConfiguration({
    url: settings['configuration-url'],
    after: null,
    waitSeconds: 0,
    dispatcher,
    signal,
  });
  if (published.err) {
    events.emit(GATEWAY_EVENTS.noStartSheet, { reason: published.val.detail });
    return null;
  }
  const sheet = parseSheet(published.val?.text ?? '');
  if (sheet.ok) return sheet.val;
  const reason = `the published sheet is not valid: ${sheet.val.length} mistakes`;
  events.emit(GATEWAY_EVENTS.noStartSheet, { reason });
  return null;
}

/** Asks the hosts in the `peers` setting by address, since host ids are unknown without a sheet. */
async function readSheetFromPeers({
  settings,
  sheets,
  transport,
}: StartSheetParts): Promise<Sheet | null> {
  const addresses = settings.peers;
  transport.setPeers(addresses.map((address) => ({ hostId: address, address })));
  for (const address of addresses) {
    const reply = await transport.call(address, 'readRecord', {});
    const record = reply.ok ? reply.val.committed : undefined;
    if (record === undefined) continue;
    const sheet = await sheets.obtain(record.sheetFingerprint, [address]);
    if (sheet.ok) return sheet.val;
  }
  return null;
}

/**
 * Returns the initial sheet: the published one, or a peer's committed sheet when no valid one can
 * be read from the configuration service. Retries until one is found; returns null when `signal`
 * is aborted first.
 */
export async function findStartSheet(
  parts: StartSheetParts,
  signal: AbortSignal,
): Promise<Sheet | null> {
  while (!signal.aborted) {
    const sheet = (await readPublishedSheet(parts, signal)) ?? (await readSheetFromPeers(parts));
    if (sheet !== null) return sheet;
    await waitUntil(parts.clock, parts.clock.now() + RETRY_INTERVAL_MS, signal);
  }
  return null;
}
