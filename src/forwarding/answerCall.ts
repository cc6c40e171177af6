import { type ServerResponse } from 'node:http';

import { type Call } from './call';
import { endToEndHeaders, type HeaderMap } from './headers';
import { type Placed } from './placed';
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

function recordEnd(call: Call, end: BodyEnd): void {
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
  answer.streamTo(new ResponseSink(response, (end) => recordEnd(call, end)));
}

/** Ends a call: streams its answer, or writes the problem; `extra` headers go with both. */
export function answerCall(
  call: Call,
  placed: Placed,
  response: ServerResponse,
  extra: HeaderMap,
): void {
  if (placed.ok) answerWith(call, placed.val, response, extra);
  else answerFailure(call, placed.val, response, extra);
}
