import { type IncomingHttpHeaders } from 'node:http';
import { type Writable } from 'node:stream';

import { type Target } from '../catalog';
import { type AttemptEnd } from '../placement';
import { type Clock } from '../runtime';

import { type AnswerHead } from './answerHead';
import { type AnswerRest } from './answerRest';
import { type AttemptObserver } from './attemptObserver';
import { type AttemptResult } from './attemptResult';
import { type CallProtocol } from './callProtocol';
import { classifyAnswer } from './classifyAnswer';
import { type ConnectionError } from './connectionError';
import { type ExchangeListener } from './exchangeListener';
import { type IncomingCall } from './incomingCall';
import { type OutgoingRequest } from './outgoingRequest';
import { type RunningAttempt } from './runningAttempt';
import { type TargetConnection } from './targetConnection';
import { type TargetConnections } from './targetConnections';

// Answers up to this size are received whole before the caller gets them, so that one that breaks
// off can be replaced by that of another target.
const LARGEST_WHOLE_BYTES = 256 * 1024;

/** One transmission of a call to one target over a connection. */
export class Attempt implements ExchangeListener, RunningAttempt {
  /** Monotonic time at which the request was sent; null before. */
  sentAt: number | null = null;

  private readonly connection: TargetConnection;

  private head: AnswerHead | null = null;

  private chunks: Buffer[] = [];

  private size = 0;

  private isOver = false;

  private output: Writable | null = null;

  private restEnded: ((isWhole: boolean) => void) | null = null;

  constructor(
    readonly call: IncomingCall,
    readonly target: Target,
    private readonly protocol: CallProtocol,
    private readonly connections: TargetConnections,
    private readonly clock: Clock,
    private readonly observer: AttemptObserver,
  ) {
    this.connection = connections.take();
  }

  /** Sends the request. */
  start(): void {
    this.connection.send(this.request(), this);
  }

  /** Closes the connection, so that the target drops the call; the attempt ends as unknown. */
  abort(): void {
    if (this.restEnded !== null || !this.isOver) this.connection.close();
  }

  onSent(): void {
    this.sentAt = this.clock.now();
  }

  onHead(status: number, headers: IncomingHttpHeaders): void {
    this.head = { status, headers, facts: this.protocol.readAnswer(headers) };
    this.observer.onHead(this, this.head);
  }

  onData(chunk: Buffer): boolean {
    if (this.output !== null) return this.output.write(chunk);
    this.chunks.push(chunk);
    this.size += chunk.length;
    if (this.size <= LARGEST_WHOLE_BYTES || this.isOver) return this.size <= LARGEST_WHOLE_BYTES;
    const { end } = classifyAnswer(this.head!, this.call);
    if (end !== 'answered') return true;
    this.finish({ end, answer: this.received(this.rest()), error: null, message: '' });
    return false;
  }

  onEnd(isFramed: boolean): void {
    const mayKeep = isFramed && this.head!.headers.connection !== 'close';
    const { end, message } = classifyAnswer(this.head!, this.call);
    // A connection that breaks off often ends as one that has sent everything does, so that an answer
    // whose end only the connection tells is never passed on as whole.
    if (isFramed) {
      this.connections.giveBack(this.connection, mayKeep && end !== 'unknown');
      this.endWhole(end, message);
    } else
      this.onError({
        kind: 'broken',
        message: 'the end of an answer without a length is not proven',
      });
  }

  private endWhole(end: AttemptEnd, message: string): void {
    if (this.isOver) {
      this.restEnded?.(true);
      return;
    }
    const isUsable = end !== 'unknown';
    this.finish({ end, answer: isUsable ? this.received(null) : null, error: null, message });
  }

  onError(error: ConnectionError): void {
    this.connections.giveBack(this.connection, false);
    if (this.isOver) {
      this.restEnded?.(false);
      return;
    }
    const end = this.sentAt === null ? 'notSent' : 'unknown';
    this.finish({ end, answer: null, error: error.kind, message: error.message });
  }

  private finish(result: AttemptResult): void {
    this.isOver = true;
    this.observer.onEnd(this, result);
  }

  private received(rest: AnswerRest | null) {
    return { head: this.head!, chunks: this.chunks, rest };
  }

  private rest(): AnswerRest {
    return {
      pipeTo: (output) =>
        new Promise((resolve) => {
          this.restEnded = resolve;
          this.output = output;
          output.on('drain', () => this.connection.resume());
          output.on('close', () => this.abort());
          this.connection.resume();
        }),
    };
  }

  private request(): OutgoingRequest {
    const { call, protocol } = this;
    const left = Math.max(1, Math.floor(call.deadline - this.clock.now()));
    const headers = [
      ...call.headers,
      ...[protocol.timeLeftHeader, String(left)],
      ...[protocol.expectedTargetHeader, this.target.id],
    ];
    return { method: call.method, path: call.path, headers, body: call.body };
  }
}
