import { type IncomingMessage } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';

import { type FleetView } from '../fleet';
import { notRun, type NotRun } from '../outcomes';
import { type CallTraits } from '../routing';
import { type Clock } from '../runtime';
import { type Service } from '../sheet';

import { readDepth } from './depth';
import { TIMEOUT_HEADER } from './headers';
import { readAddress, type RequestAddress } from './requestAddress';
import { checkRequest } from './requestChecks';

const NO_TARGETS: ReadonlySet<string> = new Set();

/** A validated request head; the body is read later. */
export interface RequestHead {
  readonly address: RequestAddress;
  readonly service: Service;
  readonly depth: number;
  readonly traits: CallTraits;
}

function readTimeLimit(request: IncomingMessage, maxMs: number): Result<number, NotRun> {
  const headerValue = request.headers[TIMEOUT_HEADER];
  if (headerValue === undefined) return Ok(maxMs);
  if (typeof headerValue !== 'string' || !/^\d{1,9}$/.test(headerValue)) {
    return Err(notRun('bad-request', `${TIMEOUT_HEADER} must be a whole number of milliseconds`));
  }
  return Ok(Math.min(maxMs, Number(headerValue)));
}

function buildTraits(
  view: FleetView,
  callId: string,
  address: RequestAddress,
  method: string,
  deadline: number,
): CallTraits {
  const operation = view.operations.find(address.service, method, address.path);
  return {
    callId,
    service: address.service,
    class: operation.class,
    idempotent: operation.idempotent && !address.isAmbiguous,
    deadline,
    suspect: null,
    avoid: NO_TARGETS,
  };
}

/** Validates the head of a caller's request and determines the traits of the call. */
export function readHead(
  request: IncomingMessage,
  view: FleetView,
  callId: string,
  clock: Clock,
): Result<RequestHead, NotRun> {
  const refusal = checkRequest(request);
  if (refusal !== null) return Err(refusal);
  const address = readAddress(request.url ?? '/');
  if (address.err) return address;
  const service = view.sheet.services.get(address.val.service);
  if (service === undefined) {
    return Err(notRun('unknown-service', `no service '${address.val.service}'`));
  }
  const timeLimitMs = readTimeLimit(request, service.time_limit_ms);
  if (timeLimitMs.err) return timeLimitMs;
  if (timeLimitMs.val === 0)
    return Err(notRun('deadline', 'the caller leaves no time for the call'));
  const method = request.method ?? 'GET';
  const baggage = request.headers.baggage as string | undefined;
  const deadline = clock.now() + timeLimitMs.val;
  return Ok({
    address: address.val,
    service,
    depth: readDepth(baggage),
    traits: buildTraits(view, callId, address.val, method, deadline),
  });
}
