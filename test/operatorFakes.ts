import { type Server } from 'node:http';
import { type AddressInfo } from 'node:net';

import Logger from 'bunyan';
import { Err, type Result } from 'ts-results';

import {
  type Acceptance,
  EventLog,
  type Fleet,
  FixedFleet,
  type FleetView,
  ManualClock,
  type Order,
  parseSheet,
  type Rejection,
  type Sheet,
} from '../src';
import { type OperatorContext, operatorServer } from '../src/operators';
import { sheetText } from '../standins';

/** Creates a small sheet with one host for each operator port. */
export function smallSheet(version: number, operatorPorts: readonly number[] = [4]): Sheet {
  const text = sheetText({
    version,
    zones: ['zone-1', 'zone-2'],
    hosts: operatorPorts.map((operatorPort, index) => ({
      id: `host-${index + 1}`,
      zone: `zone-${(index % 2) + 1}`,
      callerPort: 1,
      relayPort: 2,
      peerPort: 10 + index,
      operatorPort,
    })),
    services: [{ name: 'calendar', targets: [{ id: 't-1', zone: 'zone-1', port: 9 }] }],
  });
  return parseSheet(text).expect('the small sheet is valid');
}

/** A fake fleet that records orders and returns preset results. */
export class FakeFleet implements Fleet {
  readonly submittedOrders: Order[] = [];

  submitResult: Result<Acceptance, Rejection> = Err({ kind: 'not-ready', detail: 'no answer set' });

  deadline = Number.POSITIVE_INFINITY;

  currentView: FleetView | null;

  constructor(hostId: string, sheet: Sheet) {
    this.currentView = new FixedFleet(hostId, sheet).view();
  }

  view(): FleetView | null {
    return this.currentView;
  }

  viewDeadline(): number {
    return this.deadline;
  }

  onChange(): () => void {
    return () => {};
  }

  submit(order: Order): Promise<Result<Acceptance, Rejection>> {
    this.submittedOrders.push(order);
    return Promise.resolve(this.submitResult);
  }
}

/** Creates the context of gateway `hostId` with a fake fleet. */
export function fakeContext(hostId: string, fleet: FakeFleet): OperatorContext {
  const warning = {
    condition: 'zone-without-capacity',
    subject: 'zone-1',
    detail: 'x',
    since: 0,
  } as const;
  return {
    hostId,
    software: '0',
    token: '',
    clock: new ManualClock(),
    events: new EventLog(Logger.createLogger({ name: 'test', streams: [] })),
    fleet,
    isStopping: () => false,
    status: {
      callsInFlight: () => 3,
      targets: () => [],
      publishedVersion: () => 1,
      openWarnings: () => [warning],
    },
  };
}

/** Starts the operators' interface on a loopback port; port 0 selects a free one. */
export async function startOperatorServer(
  context: OperatorContext,
  port = 0,
): Promise<{ readonly server: Server; readonly port: number }> {
  const server = operatorServer(context);
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  return { server, port: (server.address() as AddressInfo).port };
}
