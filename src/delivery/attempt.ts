import { type IncomingHttpHeaders } from 'node:http';
import { type Writable } from 'node:stream';

import { type Target } from '../catalog';
import { type AttemptOutcome } from '../placement';
import { type Clock } from '../runtime';

import { type AnswerHead } from './answerHead';
import { type AnswerRest } from './answerRest';
import { type AttemptObserver } from './attemptObserver';
import { type AttemptResult } from './attemptResult';
import { ByteCollector } from './byteCollector';
import { type CallProtocol } from './callProtocol';
import { type AnswerClassification, classifyAnswer } from './classifyAnswer';
import { type ConnectionError } from './connectionError';
import { type ExchangeListener } from './exchangeListener';
import { type IncomingCall } from './incomingCall';
import { type MemoryShare } from './memoryShare';
import { type OutgoingRequest } from './outgoingRequest';
import { type RunningAttempt } from './runningAttempt';
import { type TargetConnection } from './targetConnection';
import { type TargetConnections } from './targetConnections';

// Answers up to this size are buffered before they are forwarded, so that a truncated answer can be
// replaced by a retry at another target.
const MAX_BUFFERED_ANSWER_BYTES = 256 * 1024;

/** One transmission of a call to one target over a connection. */
export class Attempt implements ExchangeListener, RunningAttempt {
  /** Monotonic time at which the request was sent; null until then. */
  sentAt: number | null = null;

  private head: AnswerHead | null = null;

  private isFramed = true;

  private readonly body = new ByteCollector();

  private hasEnded = false;

  private output: Writable | null = null;

  private resolveRest: ((isWhole: boolean) => void) | null = null;

  /** Whether the rest of a long answer has not been received yet. */
  private hasOpenRest = false;

  constructor(
    readonly call: IncomingCall,
    readonly target: Target,
    private readonly protocol: CallProtocol,
    /** The pool to which `connection` is returned. */
    private readonly connections: TargetConnections,
    private readonly connection: TargetConnection,
    private readonly clock: Clock,
    private readonly observer: AttemptObserver,
    /** Counts the bytes of the answer until the attempt has ended. */
    private readonly memory: MemoryShare,
  ) {}

  /** Sends the request. */
  start(): void {
    this.connection.send(this.buildRequest(), this);
  }

  /** Closes the connection, which cancels the call at the target; the attempt ends as unknown. */
  abort(): void {
    if (this.hasOpenRest || !this.hasEnded) this.connection.close();
  }

  withdrawal(): string | null {
    return this.observer.withdrawal(this);
  }

  onSent(): void {
    this.sentAt = this.clock.now();
  }

  onHead(status: number, headers: IncomingHttpHeaders, isFramed: boolean): void {
    this.isFramed = isFramed;
    this.head = { status, headers, metadata: this.protocol.readAnswer(headers) };
    this.observer.onHead(this, this.head);
  }

  onData(chunk: Buffer): boolean {
    if (this.output !== null) return this.output.write(chunk);
    this.body.append(chunk);
    if (this.hasEnded) return false;
    // Without room for it, the answer is passed on as it arrives, like one that is too long.
    const hasRoom = this.memory.tryGrow(chunk.length);
    if (hasRoom && this.body.length() <= MAX_BUFFERED_ANSWER_BYTES) return true;
    const { end } = this.classify();
    if (end === 'answered' && this.isFramed)
      this.finish({ end, answer: this.receivedAnswer(this.openRest()), error: null, message: '' });
    else this.discardLongAnswer(end);
    return false;
  }

  onEnd(isFramed: boolean): void {
    const canReuse = isFramed && this.head!.headers.connection !== 'close';
    const { end, message } = this.classify();
    // An interrupted connection often closes like a finished one, so an answer that is delimited only
    // by the close of the connection is never forwarded as complete.
    if (isFramed) {
      this.connections.release(this.connection, canReuse && end !== 'unknown');
      this.endComplete(end, message);
    } else
      this.onError({
        kind: 'broken',
        message: 'the end of an answer without a length is not proven',
      });
  }

  private classify(): AnswerClassification {
    return classifyAnswer(this.head!, this.call);
  }

  // An answer that is not passed on is not read to its end, which may never come.
  private discardLongAnswer(end: AttemptOutcome): void {
    this.body.take();
    this.finish({
      end: end === 'notRun' ? end : 'unknown',
      answer: null,
      error: 'garbled',
      message: 'answer is longer than allowed for one that is not passed on',
    });
    this.connection.close();
  }

  private endComplete(end: AttemptOutcome, message: string): void {
    if (this.hasEnded) {
      this.hasOpenRest = false;
      this.resolveRest?.(true);
      return;
    }
    const isUsable = end !== 'unknown';
    this.finish({ end, answer: isUsable ? this.receivedAnswer(null) : null, error: null, message });
  }

  onError(error: ConnectionError): void {
    this.connections.release(this.connection, error.kind === 'withdrawn');
    if (this.hasEnded) {
      this.hasOpenRest = false;
      this.resolveRest?.(false);
      return;
    }
    const unsentEnd = error.kind === 'withdrawn' ? 'withdrawn' : 'notSent';
    const end = this.sentAt === null ? unsentEnd : 'unknown';
    this.finish({ end, answer: null, error: error.kind, message: error.message });
  }

  private finish(result: AttemptResult): void {
    this.hasEnded = true;
    this.memory.release();
    this.observer.onEnd(this, result);
  }

  private receivedAnswer(rest: AnswerRest | null) {
    return { head: this.head!, chunks: this.body.take(), rest };
  }

  private openRest(): AnswerRest {
    this.hasOpenRest = true;
    return {
      cancel: () => this.abort(),
      pipeTo: (output) =>
        new Promise((resolve) => {
          // The connection may have broken while the answer waited for its turn.
          if (!this.hasOpenRest) {
            resolve(false);
            return;
          }
          const timer = this.clock.setTimer(this.restDeadline(), () => this.abort());
          this.resolveRest = (isWhole) => {
            timer.cancel();
            resolve(isWhole);
          };
          for (const chunk of this.body.take()) output.write(chunk);
          this.output = output;
          output.on('drain', () => this.connection.resume());
          output.on('close', () => this.abort());
          this.connection.resume();
        }),
    };
  }

  /** Time after which nobody waits for the rest of a long answer. */
  private restDeadline(): number {
    const { callerDeadline, route } = this.call;
    return Number.isFinite(callerDeadline) ? callerDeadline : this.clock.now() + route.timeLimitMs;
  }

  private buildRequest(): OutgoingRequest {
    const { call, protocol } = this;
    const remainingMs = Math.max(1, Math.floor(call.deadline - this.clock.now()));
    const headers = [
      ...call.headers,
      ...[protocol.timeoutHeader, String(remainingMs)],
      ...[protocol.expectedTargetHeader, this.target.id],
    ];
    return { method: call.method, path: call.path, headers, body: call.body };
  }
}
