import { join } from 'node:path';

import { gatewayFlags, type SheetHost } from '../../standins';

import { ManagedProcess } from './managedProcess';

const GATEWAY = join(__dirname, '..', '..', '..', 'bin', 'limpetknot-gateway.js');
const SECRET = 'a-secret-for-measurements-only';

/** Settings of a gateway process that measurements vary. */
export interface GatewayOptions {
  readonly policy: string;
  readonly platformUrl: string;
  readonly seed: number;
  /** File of the decision log; empty disables it. */
  readonly decisionLog: string;
}

/** Starts the gateway of one host. */
export function startGatewayProcess(
  host: SheetHost,
  options: GatewayOptions,
): Promise<ManagedProcess> {
  const flags = gatewayFlags(host, options.platformUrl, {
    'peer-secret': SECRET,
    policy: options.policy,
    'random-seed': options.seed,
    'decision-log': options.decisionLog,
    // A run stops all gateways at its end, so no upstream load balancer needs notice of a drain.
    'notice-period': 0,
    'stop-limit': 5000,
  });
  return ManagedProcess.start(GATEWAY, flags, 'gateway ready');
}
