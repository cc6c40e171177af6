import { type Random } from '../../src/runtime';

import { AnswerReader } from './answerReader';
import { type KeptCall } from './keptCall';
import { RawCaller } from './rawCaller';

const TIMEOUT_MS = 2000;

/** How a caller uses its connections. */
export interface CallerHabits {
  /** Calls sent at once. */
  readonly batch: number;
  /** Whether it waits for all answers before it sends more. */
  readonly waitsForAnswers: boolean;
  /** Whether it stops sending after an answer with `Connection: close`. */
  readonly heedsClose: boolean;
  readonly isIdempotent: boolean;
  /** The key of its next call, which it sends on a route that needs one; none if absent. */
  readonly pickKey?: (random: Random) => string;
}

/** A caller that keeps each connection until it is gone, and then opens one to another host. */
export class KeptCaller {
  /** All calls, in the order in which they were sent. */
  readonly calls: KeptCall[] = [];

  /** Number of connections on which bytes arrived that are no answer. */
  brokenConnections = 0;

  private isEnding = false;

  constructor(
    private readonly name: string,
    private readonly habits: CallerHabits,
    private readonly hosts: readonly { readonly ip: string; readonly port: number }[],
    private readonly random: Random,
  ) {}

  /** Sends calls until `end` is called and the last one is answered. */
  async run(): Promise<void> {
    while (!this.isEnding) {
      const host = this.random.integer(this.hosts.length);
      const { ip, port } = this.hosts[host]!;
      const caller = new RawCaller(port, ip);
      const reader = new AnswerReader();
      const sent: KeptCall[] = [];
      while (!caller.isClosed && !this.isEnding) {
        this.recordAnswers(caller, reader, sent);
        if (this.maySend(caller, sent)) this.sendBatch(caller, host, sent);
        await this.sleep(10 + this.random.integer(60));
      }
      if (this.isEnding) await this.untilAnswered(caller, reader, sent);
      caller.leave();
      await caller.closed;
      this.recordAnswers(caller, reader, sent);
      this.brokenConnections += reader.isBroken ? 1 : 0;
      for (const call of sent) {
        call.wasConnected = caller.openedAt !== null;
        call.closedAt = caller.closedAt;
      }
    }
  }

  /** Status of the answer by call id; null without one. */
  statuses(): ReadonlyMap<string, number | null> {
    const statuses = new Map<string, number | null>(this.calls.map(({ id }) => [id, null]));
    for (const { id, answer } of this.calls)
      if (answer !== null) statuses.set(answer.headers.get('request-id') ?? id, answer.status);
    return statuses;
  }

  /** Sends nothing more. */
  end(): void {
    this.isEnding = true;
  }

  private recordAnswers(caller: RawCaller, reader: AnswerReader, sent: readonly KeptCall[]): void {
    for (const answer of reader.read(caller.text)) {
      const call = sent.find((earlier) => earlier.answer === null);
      // An answer without a call.
      if (call === undefined) this.brokenConnections += 1;
      else Object.assign(call, { answer, answeredAt: performance.now() });
    }
  }

  private maySend(caller: RawCaller, sent: readonly KeptCall[]): boolean {
    const { waitsForAnswers, heedsClose } = this.habits;
    if (heedsClose && /^connection: close/im.test(caller.text)) return false;
    return !waitsForAnswers || sent.every(({ answer }) => answer !== null);
  }

  private sendBatch(caller: RawCaller, host: number, sent: KeptCall[]): void {
    const { batch, isIdempotent, pickKey } = this.habits;
    for (let index = 0; index < batch; index += 1) {
      const id = `${this.name}-${this.calls.length}`;
      const pace = this.random.next() < 0.5 ? 'slow' : 'quick';
      const service = `${isIdempotent ? 'read' : 'book'}-${pace}`;
      const key = pickKey?.(this.random) ?? null;
      const call: KeptCall = {
        ...{ id, host, service, isIdempotent, key, sentAt: performance.now() },
        isBehindAnother: sent.some(({ answer }) => answer === null),
        ...{ answer: null, answeredAt: null, wasConnected: false, closedAt: null },
      };
      this.calls.push(call);
      sent.push(call);
      const start = `${isIdempotent ? 'GET' : 'POST'} /${key === null ? '' : 'keyed-'}${service}/x`;
      const body = isIdempotent ? '' : 'seat';
      const length = isIdempotent ? '' : `Content-Length: ${body.length}\r\n`;
      const authorization = key === null ? '' : `Authorization: Bearer ${key}\r\n`;
      caller.write(
        `${start} HTTP/1.1\r\nHost: test.example\r\nRequest-Id: ${id}\r\n` +
          `Deadline-Ms: ${TIMEOUT_MS}\r\n${authorization}${length}\r\n${body}`,
      );
    }
  }

  private async untilAnswered(
    caller: RawCaller,
    reader: AnswerReader,
    sent: readonly KeptCall[],
  ): Promise<void> {
    const isDone = () => caller.isClosed || sent.every(({ answer }) => answer !== null);
    for (let waited = 0; waited < 2 * TIMEOUT_MS && !isDone(); waited += 20) {
      await this.sleep(20);
      this.recordAnswers(caller, reader, sent);
    }
  }

  private sleep(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
  }
}
