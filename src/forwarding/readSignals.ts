import { type IncomingHttpHeaders } from 'node:http';

import { type TargetSignals } from '../routing';

import { LOAD_HEADER, TARGET_INSTANCE_HEADER, TARGET_STATE_HEADER } from './headers';

const UTILIZATION = /(?:application_utilization|cpu_utilization)["\s]*[:=]\s*([0-9.]+)/;

/** Reads the state that a target reports in the headers of a response. */
export function readSignals(headers: IncomingHttpHeaders): TargetSignals {
  const instance = headers[TARGET_INSTANCE_HEADER];
  const load = headers[LOAD_HEADER];
  const utilization = typeof load === 'string' ? UTILIZATION.exec(load) : null;
  return {
    instance: typeof instance === 'string' ? instance : null,
    draining: headers[TARGET_STATE_HEADER] === 'draining',
    utilization: utilization === null ? null : Number(utilization[1]),
  };
}
