import { randomUUID } from 'node:crypto';

import { Err, Ok, type Result } from 'ts-results';
import { Agent } from 'undici';

import { MemorySheetSource, ReplicatedFleet } from '../fleet';
import { type Lifecycle } from '../lifecycle';
import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { GrpcTransport } from '../peer';
import { type Clock, type Random } from '../runtime';
import { type GatewaySettings } from '../settings';

import { type RouterHandover } from './routerHandover';
import { findStartSheet } from './startSheet';

/** What the fleet of a gateway process is made of. */
export interface FleetParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly metrics: MetricsSink;
  readonly handover: RouterHandover;
  /** Closes the transport and the fleet. */
  readonly lifecycle: Lifecycle;
}

/** A fleet with the transport that carries its messages. */
export interface OpenFleet {
  readonly fleet: ReplicatedFleet;
  readonly transport: GrpcTransport;
}

/**
 * Finds a sheet to start with, opens the peer port and joins the fleet; the host becomes ready
 * later. An error tells why the port could not be opened or that `signal` was aborted.
 */
export async function openFleet(
  settings: GatewaySettings,
  parts: FleetParts,
  signal: AbortSignal,
): Promise<Result<OpenFleet, string>> {
  const { clock, events, handover, lifecycle, random } = parts;
  const hostId = settings['host-id'];
  const incarnation = randomUUID().slice(0, 8);
  const secret = settings['peer-secret'];
  const transport = new GrpcTransport({ ...parts, hostId, incarnation, secret });
  lifecycle.own('peer transport', () => transport.close());
  const port = await transport.listen(settings.address, settings['peer-port']);
  if (port.err) return port;
  const dispatcher = new Agent();
  lifecycle.own('configuration connections', () => dispatcher.close());
  const sheets = new MemorySheetSource(transport);
  const search = { settings, transport, sheets, clock, events, dispatcher };
  const startSheet = await findStartSheet(search, signal);
  if (startSheet === null) return Err('stopped before a sheet was found');
  const fleet = new ReplicatedFleet({
    hostId,
    zone: settings.zone,
    incarnation,
    startSheet,
    transport,
    sheets,
    handover,
    clock,
    random,
    events,
  });
  lifecycle.own('fleet', () => fleet.close());
  fleet.start();
  return Ok({ fleet, transport });
}
