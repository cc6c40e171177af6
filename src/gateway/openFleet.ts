import { randomUUID } from 'node:crypto';

import { Err, Ok, type Result } from 'ts-results';
import { Agent } from 'undici';

import { ReplicatedFleet, SheetStore } from '../fleet';
import { type Lifecycle } from '../lifecycle';
import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { GrpcTransport } from '../peer';
import { type Clock, type Random } from '../runtime';
import { type GatewaySettings } from '../settings';

import { type RouterHandover } from './routerHandover';
import { findStartSheet } from './startSheet';

/** Dependencies of the fleet of a gateway process. */
export interface FleetParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly metrics: MetricsSink;
  readonly handover: RouterHandover;
  /** Closes the transport and the fleet. */
  readonly lifecycle: Lifecycle;
}

/** A joined fleet and the connections that other components of the gateway share. */
export interface OpenedFleet {
  readonly fleet: ReplicatedFleet;
  readonly transport: GrpcTransport;
  /** HTTP connections to the platform: configuration service and host list. */
  readonly dispatcher: Agent;
}

/**
 * Opens the peer port, finds an initial sheet and joins the fleet; the host becomes ready later.
 * The error states why the port could not be opened, or that `signal` was aborted first.
 */
export async function openFleet(
  settings: GatewaySettings,
  parts: FleetParts,
  signal: AbortSignal,
): Promise<Result<OpenedFleet, string>> {
  const { clock, events, handover, lifecycle, metrics, random } = parts;
  const hostId = settings['host-id'];
  const incarnation = randomUUID().slice(0, 8);
  const secret = settings['peer-secret'];
  const transport = new GrpcTransport({ ...parts, hostId, incarnation, secret });
  lifecycle.own('peer transport', () => transport.close());
  const port = await transport.listen(settings.address, settings['peer-port']);
  if (port.err) return port;
  const dispatcher = new Agent();
  lifecycle.own('configuration connections', () => dispatcher.close());
  const sheets = new SheetStore({ transport, clock, random, events, metrics });
  const startSheetParts = { settings, transport, sheets, clock, events, dispatcher };
  const startSheet = await findStartSheet(startSheetParts, signal);
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
  return Ok({ fleet, transport, dispatcher });
}
