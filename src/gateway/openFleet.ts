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

import { openPort, tryPort } from './openPort';
import { type RouterHandover } from './routerHandover';
import { findStartSheet } from './startSheet';

const PORTS_OF_MEMBERS = ['caller-port', 'relay-port', 'operator-port'] as const;

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
 * Opens the peer port, finds an initial sheet and joins the fleet once the other ports are free; the host
 * becomes ready later. The error states what it waited for when `signal` was aborted.
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
  const { address } = settings;
  const wait = { clock, events, signal };
  const port = await openPort(wait, 'peer-port', () =>
    transport.listen(address, settings['peer-port']),
  );
  if (port.err) return port;
  const dispatcher = new Agent();
  lifecycle.own('configuration connections', () => dispatcher.close());
  const sheets = new SheetStore({ transport, clock, random, events, metrics });
  const startSheetParts = { settings, transport, sheets, clock, events, dispatcher };
  const startSheet = await findStartSheet(startSheetParts, signal);
  if (startSheet === null) return Err('stopped before a sheet was found');
  // A member whose other ports are taken would own targets that no host can reach through it.
  const free = await Promise.all(
    PORTS_OF_MEMBERS.map((name) => openPort(wait, name, () => tryPort(address, settings[name]))),
  );
  if (signal.aborted || free.some((tried) => tried.err)) return Err('stopped before it joined');
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
