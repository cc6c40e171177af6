import { type Server } from 'node:http';

import { type Ledger } from '../catalog';
import { type UdpLink } from '../exchange';

import { type Addresses } from './addresses';
import { type BalancerParts } from './balancerParts';
import { createControlServer } from './controlServer';
import { ipOf } from './ipOf';
import { listenAt } from './listen';
import { createReadinessServer } from './readinessServer';

/** What answers at the addresses of a host. */
export interface Openings {
  readonly addresses: Addresses;
  readonly link: UdpLink;
  readonly ledger: Ledger;
  readonly callerServer: Server;
  readonly isReady: () => boolean;
  readonly describe: () => unknown;
}

/** Opens all addresses of a host at once; one that is taken is awaited and keeps no other closed. */
export async function openAddresses(
  { settings, currentSettings: current, lifecycle, clock, metrics }: BalancerParts,
  { addresses, link, ledger, callerServer, isReady, describe }: Openings,
): Promise<void> {
  const openServer = (name: string, server: Server, address: () => string) => {
    lifecycle.own(name, () => {
      server.close();
      server.closeAllConnections();
    });
    return addresses.open(name, () => listenAt(server, address()));
  };
  const makeControlServer = (describeHost: () => unknown) =>
    createControlServer({
      ...{ clock, ledger, describe: describeHost },
      renderMetrics: () => metrics.render(),
    });
  const currentIp = () => ipOf(current()['control-address']);
  const readinessServer = createReadinessServer(settings['readiness-path'], isReady);
  const controlServer = makeControlServer(describe);
  // Answers /catalog, /metrics, /status and /livez as the control address does, except that /status
  // is an empty object: this port is for the metrics, and the control address serves the status.
  const metricsServer = makeControlServer(() => ({}));
  lifecycle.own('exchange link', () => link.close());
  const attempts = [
    openServer('readiness-address', readinessServer, () => current()['readiness-address']),
    openServer('caller-address', callerServer, () => current()['caller-address']),
    addresses.open('exchange-port', () => link.open(currentIp(), current()['exchange-port'])),
    openServer('control-address', controlServer, () => current()['control-address']),
  ];
  if (settings['metrics-port'] !== 0) {
    const address = () => `${currentIp()}:${current()['metrics-port']}`;
    attempts.push(openServer('metrics-port', metricsServer, address));
  }
  lifecycle.own('addresses', () => addresses.close());
  await Promise.all(attempts);
}
