import { type Agent } from 'undici';

import { type SheetSource } from '../fleet';
import { type EventLog } from '../logging';
import { type PeerTransport } from '../peer';
import { readConfiguration } from '../published';
import { type Clock, waitUntil } from '../runtime';
import { type GatewaySettings } from '../settings';
import { parseSheet, type Sheet } from '../sheet';

import { GATEWAY_EVENTS } from './events';

/** Where a starting gateway looks for a sheet. */
export interface StartSheetParts {
  readonly settings: GatewaySettings;
  readonly transport: PeerTransport;
  readonly sheets: SheetSource;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dispatcher: Agent;
}

const RETRY_INTERVAL_MS = 500;

async function readPublished(parts: StartSheetParts, signal: AbortSignal): Promise<Sheet | null> {
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

/** Asks the hosts of the `peers` setting, by address, since no sheet names them yet. */
async function readFromPeers({
  settings,
  sheets,
  transport,
}: StartSheetParts): Promise<Sheet | null> {
  const addresses = settings.peers;
  transport.setPeers(addresses.map((address) => ({ hostId: address, address })));
  for (const address of addresses) {
    const state = await transport.call(address, 'readRecord', {});
    const record = state.ok ? state.val.committed : undefined;
    if (record === undefined) continue;
    const sheet = await sheets.obtain(record.sheetFingerprint, [address]);
    if (sheet.ok) return sheet.val;
  }
  return null;
}

/**
 * The sheet to start with: the published one, or that of a peer while the configuration service
 * is down. Tries until there is one; null when `signal` is aborted first.
 */
export async function findStartSheet(
  parts: StartSheetParts,
  signal: AbortSignal,
): Promise<Sheet | null> {
  while (!signal.aborted) {
    const sheet = (await readPublished(parts, signal)) ?? (await readFromPeers(parts));
    if (sheet !== null) return sheet;
    await waitUntil(parts.clock, parts.clock.now() + RETRY_INTERVAL_MS, signal);
  }
  return null;
}
