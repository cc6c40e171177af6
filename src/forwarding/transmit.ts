import { type IncomingHttpHeaders } from 'node:http';
import { type Readable } from 'node:stream';

import { Err, Ok, type Result } from 'ts-results';
import { type Dispatcher } from 'undici';

import { notRun, type NotRun } from '../outcomes';
import { type Clock, type Timer } from '../runtime';

import {
  type Answer,
  type BodyEnd,
  type BodySink,
  type Transmission,
  type TransmissionFailure,
} from './transmission';

type Controller = Dispatcher.DispatchController;
type HeadResult = Result<Answer, TransmissionFailure>;

// What may be held back while the answer's reader is not known yet.
const HELD_BACK_BYTES = 64 * 1024;
// undici's codes for requests that it does not put on the wire.
const INVALID_REQUEST_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
]);

/** Carries one request through undici and hands over the answer as soon as its head is there. */
class TransmissionHandler implements Dispatcher.DispatchHandler {
  private controller: Controller | null = null;

  private sent = false;

  private refusal: NotRun | null = null;

  private aborted: 'deadline' | 'cancelled' | null = null;

  private settled = false;

  private headArrived = false;

  private sink: BodySink | null = null;

  private heldBack: Buffer[] = [];

  private heldBackBytes = 0;

  private bodyEnd: BodyEnd | null = null;

  private readonly timer: Timer;

  private readonly onCallerGone = () => this.stop('cancelled');

  constructor(
    private readonly transmission: Transmission,
    private readonly clock: Clock,
    private readonly resolve: (head: HeadResult) => void,
  ) {
    this.timer = clock.setTimer(transmission.deadline, () => this.stop('deadline'));
    transmission.cancellation.add(this.onCallerGone);
  }

  onRequestStart(controller: Controller): void {
    this.controller = controller;
    if (this.aborted !== null) {
      controller.abort(new Error(this.aborted));
      return;
    }
    // undici may offer a request to a second connection; a call is sent at most once.
    if (this.sent) {
      controller.abort(new Error('the connection closed'));
      return;
    }
    const allowed = this.checkDeparture();
    if (allowed.ok) {
      this.sent = true;
      return;
    }
    this.refusal = allowed.val;
    controller.abort(new Error('the call may not leave'));
  }

  onResponseStart(controller: Controller, status: number, headers: IncomingHttpHeaders): void {
    if (status < 200) return;
    this.controller = controller;
    this.headArrived = true;
    this.settle(
      Ok({
        status,
        headers,
        target: '',
        streamTo: (sink) => this.attach(sink),
        cancel: () => this.stop('cancelled'),
      }),
    );
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    if (this.sink !== null) {
      this.pass(this.sink, chunk);
      return;
    }
    this.heldBack.push(chunk);
    this.heldBackBytes += chunk.length;
    if (this.heldBackBytes > HELD_BACK_BYTES) controller.pause();
  }

  onResponseEnd(): void {
    this.finishBody('whole');
  }

  onResponseError(_controller: Controller, error: Error): void {
    this.release();
    if (this.headArrived) {
      this.finishBody(this.aborted ?? 'lost');
      return;
    }
    this.settle(Err(this.failure(error)));
  }

  /** Ends the request before its answer is complete. */
  stop(cause: 'deadline' | 'cancelled'): void {
    if (this.bodyEnd !== null || this.aborted !== null) return;
    this.aborted = cause;
    this.release();
    if (this.controller !== null) {
      this.controller.abort(new Error(cause));
      return;
    }
    // Still waiting for a connection: the request is refused when undici offers it one.
    this.settle(Err({ kind: 'withheld', refusal: this.withheldFor(cause) }));
  }

  private settle(head: HeadResult): void {
    if (this.settled) return;
    this.settled = true;
    this.resolve(head);
  }

  private checkDeparture(): Result<void, NotRun> {
    if (this.clock.now() >= this.transmission.deadline) {
      return Err(notRun('deadline', 'the deadline passed before the call was sent'));
    }
    return this.transmission.mayLeave();
  }

  private withheldFor(cause: 'deadline' | 'cancelled'): NotRun {
    return cause === 'deadline'
      ? notRun('deadline', 'no connection before the deadline')
      : notRun('deadline', 'the call was cancelled before it was sent');
  }

  private failure(error: Error): TransmissionFailure {
    const detail = error.message;
    if (this.sent && this.aborted !== null) return { kind: this.aborted, detail };
    if (this.sent) return { kind: 'lost', detail };
    if (this.refusal !== null) return { kind: 'withheld', refusal: this.refusal };
    if (this.aborted !== null) return { kind: 'withheld', refusal: this.withheldFor(this.aborted) };
    if (INVALID_REQUEST_CODES.has(String((error as NodeJS.ErrnoException).code))) {
      return { kind: 'withheld', refusal: notRun('bad-request', detail) };
    }
    return { kind: 'connect-failed', detail };
  }

  private attach(sink: BodySink): void {
    this.sink = sink;
    const chunks = this.heldBack;
    this.heldBack = [];
    for (const chunk of chunks) this.pass(sink, chunk);
    if (this.bodyEnd !== null) sink.end(this.bodyEnd);
    else if (this.controller?.paused) this.controller.resume();
  }

  private pass(sink: BodySink, chunk: Buffer): void {
    const more = sink.data(chunk, () => this.controller?.resume());
    if (!more && this.bodyEnd === null) this.controller?.pause();
  }

  private finishBody(end: BodyEnd): void {
    if (this.bodyEnd !== null) return;
    this.bodyEnd = end;
    this.release();
    this.sink?.end(end);
  }

  private release(): void {
    this.timer.cancel();
    this.transmission.cancellation.remove(this.onCallerGone);
  }
}

function bodyOf(transmission: Transmission): Dispatcher.DispatchOptions['body'] {
  const { body } = transmission;
  if (body.kind === 'none') return null;
  if (body.kind === 'buffered') return body.bytes;
  // undici takes any async iterable, which its types do not say.
  return body.stream as unknown as Readable;
}

/** Sends one request; resolves when the head of the answer arrives or the request fails. */
export function transmit(
  dispatcher: Dispatcher,
  transmission: Transmission,
  clock: Clock,
): Promise<HeadResult> {
  return new Promise((resolve) => {
    const handler = new TransmissionHandler(transmission, clock, resolve);
    dispatcher.dispatch(
      {
        method: transmission.method,
        path: transmission.path,
        headers: transmission.headers,
        body: bodyOf(transmission),
        // The deadline of the call is the only time limit.
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      handler,
    );
  });
}
