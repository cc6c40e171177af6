import { type IncomingHttpHeaders } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';
import { type Dispatcher } from 'undici';

import { headFault } from '../delivery';
import { notRun, type NotRun } from '../outcomes';
import { type Clock, type Timer } from '../runtime';

import { dispatchBody } from './dispatchBody';
import {
  type Answer,
  type BodyEnd,
  type BodySink,
  type Transmission,
  type TransmissionFailure,
} from './transmission';

type Controller = Dispatcher.DispatchController;
type HeadResult = Result<Answer, TransmissionFailure>;

// Limit of body data buffered before `streamTo` is called; beyond it the connection is paused.
const MAX_PENDING_BYTES = 64 * 1024;
// undici's error codes for requests that it rejects without sending them.
const INVALID_REQUEST_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
]);

const NOT_MODIFIED = 304;
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, NOT_MODIFIED]);
const LENGTH_MISMATCH_CODE = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

/** Sends one request with undici and resolves with the answer when its head is received. */
class TransmissionHandler implements Dispatcher.DispatchHandler {
  private controller: Controller | null = null;

  private isSent = false;

  private refusal: NotRun | null = null;

  private abortCause: 'deadline' | 'cancelled' | null = null;

  private isSettled = false;

  private hasHead = false;

  /** False for an answer that is delimited only by the close of its connection. */
  private isFramed = true;

  private isNotModified = false;

  private sink: BodySink | null = null;

  private pendingChunks: Buffer[] = [];

  private pendingBytes = 0;

  private bodyEnd: BodyEnd | null = null;

  private readonly timer: Timer;

  private readonly onCancelled = () => this.abort('cancelled');

  constructor(
    private readonly transmission: Transmission,
    private readonly clock: Clock,
    private readonly resolve: (head: HeadResult) => void,
  ) {
    this.timer = clock.setTimer(transmission.deadline, () => this.abort('deadline'));
    transmission.cancellation.addListener(this.onCancelled);
  }

  onRequestStart(controller: Controller): void {
    this.controller = controller;
    if (this.abortCause !== null) {
      controller.abort(new Error(this.abortCause));
      return;
    }
    // undici may start a request again on a second connection; a call is sent at most once.
    if (this.isSent) {
      controller.abort(new Error('the connection closed'));
      return;
    }
    const allowed = this.checkBeforeSend();
    if (allowed.ok) {
      this.isSent = true;
      return;
    }
    this.refusal = allowed.val;
    controller.abort(new Error('the call must not be sent'));
  }

  onResponseStart(
    controller: Controller,
    status: number,
    headers: IncomingHttpHeaders,
    statusText?: string,
  ): void {
    const fault = headFault(status, headers, statusText ?? '');
    if (status < 200 && fault === null) return;
    this.controller = controller;
    if (fault !== null) {
      controller.abort(new Error(fault));
      return;
    }
    this.isNotModified = status === NOT_MODIFIED;
    this.hasHead = true;
    this.isFramed =
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined ||
      this.transmission.method === 'HEAD' ||
      STATUSES_WITHOUT_BODY.has(status);
    this.settle(
      Ok({
        status,
        headers,
        target: '',
        streamTo: (sink) => this.attachSink(sink),
        cancel: () => this.abort('cancelled'),
      }),
    );
  }

  onResponseData(controller: Controller, chunk: Buffer): void {
    if (this.sink !== null) {
      this.forwardChunk(this.sink, chunk);
      return;
    }
    this.pendingChunks.push(chunk);
    this.pendingBytes += chunk.length;
    if (this.pendingBytes > MAX_PENDING_BYTES) controller.pause();
  }

  onResponseEnd(): void {
    // A connection that broke off often closes like one that has sent everything.
    this.finishBody(this.isFramed ? 'whole' : 'lost');
  }

  onResponseError(_controller: Controller, error: Error): void {
    this.cleanUp();
    if (this.hasHead) {
      // undici expects the body of which a 304 states the length.
      const { code } = error as NodeJS.ErrnoException;
      const isWhole = this.isNotModified && code === LENGTH_MISMATCH_CODE;
      this.finishBody(isWhole ? 'whole' : (this.abortCause ?? 'lost'));
      return;
    }
    this.settle(Err(this.failureOf(error)));
  }

  /** Aborts the request before its answer is complete. */
  abort(cause: 'deadline' | 'cancelled'): void {
    if (this.bodyEnd !== null || this.abortCause !== null) return;
    this.abortCause = cause;
    this.cleanUp();
    if (this.controller !== null) {
      this.controller.abort(new Error(cause));
      return;
    }
    // Still waiting for a connection: `onRequestStart` aborts the request once it gets one.
    this.settle(Err({ kind: 'withheld', refusal: this.refusalFor(cause) }));
  }

  private settle(head: HeadResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.resolve(head);
  }

  private checkBeforeSend(): Result<void, NotRun> {
    if (this.clock.now() >= this.transmission.deadline) {
      return Err(notRun('deadline', 'the deadline passed before the call was sent'));
    }
    return this.transmission.checkBeforeSend();
  }

  private refusalFor(cause: 'deadline' | 'cancelled'): NotRun {
    return cause === 'deadline'
      ? notRun('deadline', 'no connection before the deadline')
      : notRun('deadline', 'the call was cancelled before it was sent');
  }

  private failureOf(error: Error): TransmissionFailure {
    const detail = error.message;
    if (this.isSent && this.abortCause !== null) return { kind: this.abortCause, detail };
    if (this.isSent) return { kind: 'lost', detail };
    if (this.refusal !== null) return { kind: 'withheld', refusal: this.refusal };
    if (this.abortCause !== null)
      return { kind: 'withheld', refusal: this.refusalFor(this.abortCause) };
    if (INVALID_REQUEST_CODES.has(String((error as NodeJS.ErrnoException).code))) {
      return { kind: 'withheld', refusal: notRun('bad-request', detail) };
    }
    return { kind: 'connect-failed', detail };
  }

  private attachSink(sink: BodySink): void {
    this.sink = sink;
    const chunks = this.pendingChunks;
    this.pendingChunks = [];
    for (const chunk of chunks) this.forwardChunk(sink, chunk);
    if (this.bodyEnd !== null) sink.end(this.bodyEnd);
    else if (this.controller?.paused) this.controller.resume();
  }

  private forwardChunk(sink: BodySink, chunk: Buffer): void {
    const hasCapacity = sink.data(chunk, () => this.controller?.resume());
    if (!hasCapacity && this.bodyEnd === null) this.controller?.pause();
  }

  private finishBody(end: BodyEnd): void {
    if (this.bodyEnd !== null) return;
    this.bodyEnd = end;
    this.cleanUp();
    this.sink?.end(end);
  }

  private cleanUp(): void {
    this.timer.cancel();
    this.transmission.cancellation.removeListener(this.onCancelled);
  }
}

/** Sends one request; resolves when the response head is received or the request fails. */
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
        body: dispatchBody(transmission.body),
        // The only time limit is the deadline of the call.
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      handler,
    );
  });
}
