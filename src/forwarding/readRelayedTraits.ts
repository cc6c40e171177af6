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

function text(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

/** Reads what the entry tells about a relayed call; without a time left it is past its deadline. */
export function readRelayedTraits(
  headers: IncomingHttpHeaders,
  callId: string,
  clock: Clock,
): CallTraits {
  const left = Number(text(headers, TIMEOUT_HEADER));
  const avoid = text(headers, AVOID_HEADER);
  const suspect = text(headers, SUSPECT_HEADER);
  return {
    callId,
    service: text(headers, SERVICE_HEADER),
    class: text(headers, CLASS_HEADER),
    idempotent: text(headers, IDEMPOTENT_HEADER) === 'yes',
    deadline: clock.now() + (Number.isFinite(left) ? left : 0),
    suspect: suspect === '' ? null : suspect,
    avoid: new Set(avoid === '' ? [] : avoid.split(',')),
  };
}
