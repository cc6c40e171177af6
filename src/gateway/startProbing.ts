import { Agent } from 'undici';

import { HttpProbeTransport, Prober } from '../probing';

import { type RunningGateway } from './runningGateway';

const CONNECT_TIMEOUT_MS = 1000;

/** Starts health checks of the targets that this host owns, on dedicated connections. */
export function startProbing(running: RunningGateway): void {
  const { clock, fleet, gateway, lifecycle, random } = running;
  const dispatcher = new Agent({ connections: 1, connectTimeout: CONNECT_TIMEOUT_MS });
  const transport = new HttpProbeTransport(dispatcher);
  const prober = new Prober({ fleet, router: gateway.router, clock, random, transport });
  const view = fleet.view();
  if (view !== null) prober.applyView(view);
  lifecycle.own('probe connections', () => dispatcher.close());
  lifecycle.own('probing', () => prober.close());
  lifecycle.own(
    'probing listener',
    fleet.onChange((changed) => prober.applyView(changed)),
  );
}
