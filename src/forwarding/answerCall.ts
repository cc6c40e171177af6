import { type ServerResponse } from 'node:http';

import { type Call } from './call';
import { endToEndHeaders, type HeaderMap } from './headers';
import { type PlacementResult } from './placementResult';
import { type PlacementFailure } from './placementFailure';
import { ResponseSink } from './responseSink';
import { type Answer, type BodyEnd } from './transmission';
import { writeProblem } from './writeProblem';

function answerFailure(
  call: Call,
  failure: PlacementFailure,
  response: ServerResponse,
  extra: HeaderMap,
): void {
  if (response.destroyed) {
    call.record.end('caller-gone');
    return;
  }
  writeProblem(response, failure.outcome, call.traits.callId, extra);
  call.record.end(failure.outcome.kind);
}

function recordBodyEnd(call: Call, end: BodyEnd): void {
  if (end === 'whole') call.record.end('whole-answer');
  else call.record.end(end === 'cancelled' ? 'caller-gone' : 'truncated');
}

function answerWith(call: Call, answer: Answer, response: ServerResponse, extra: HeaderMap): void {
  if (response.destroyed) {
    answer.cancel();
    call.record.end('caller-gone');
    return;
  }
  response.writeHead(answer.status, {
    ...endToEndHeaders(answer.headers),
    'proxy-status': 'limpetknot',
    ...extra,
  });
  answer.streamTo(new ResponseSink(response, (end) => recordBodyEnd(call, end)));
}

/** Completes a call: streams its answer or writes a problem, either with the `extra` headers. */
export function answerCall(
  call: Call,
  result: PlacementResult,
  response: ServerResponse,
  extra: HeaderMap,
): void {
  if (result.ok) answerWith(call, result.val, response, extra);
  else answerFailure(call, result.val, response, extra);
}
