import { Agent } from 'undici';

import { HttpProbeTransport, Prober } from '../probing';

import { type Running } from './running';

const CONNECT_LIMIT_MS = 1000;

/** Starts to probe the targets that this host owns, on connections of their own. */
export function startProbing(running: Running): void {
  const { clock, fleet, gateway, lifecycle, random } = running;
  const dispatcher = new Agent({ connections: 1, connectTimeout: CONNECT_LIMIT_MS });
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
