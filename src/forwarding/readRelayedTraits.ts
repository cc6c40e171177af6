import { type IncomingHttpHeaders } from 'node:http';

import { type CallTraits } from '../routing';
import { type Clock } from '../runtime';

import {
  AVOID_HEADER,
  CLASS_HEADER,
  IDEMPOTENT_HEADER,
  SERVICE_HEADER,
  SUSPECT_HEADER,
  TIMEOUT_HEADER,
} from './headers';

function headerText(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

/** Reads the traits of a relayed call; without a valid timeout its deadline has passed. */
export function readRelayedTraits(
  headers: IncomingHttpHeaders,
  callId: string,
  clock: Clock,
): CallTraits {
  const timeLeftMs = Number(headerText(headers, TIMEOUT_HEADER));
  const avoid = headerText(headers, AVOID_HEADER);
  const suspect = headerText(headers, SUSPECT_HEADER);
  return {
    callId,
    service: headerText(headers, SERVICE_HEADER),
    class: headerText(headers, CLASS_HEADER),
    idempotent: headerText(headers, IDEMPOTENT_HEADER) === 'yes',
    deadline: clock.now() + (Number.isFinite(timeLeftMs) ? timeLeftMs : 0),
    suspect: suspect === '' ? null : suspect,
    avoid: new Set(avoid === '' ? [] : avoid.split(',')),
  };
}
