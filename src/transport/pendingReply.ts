import { gunzip } from 'node:zlib';

import { Err, Ok, type Result } from 'ts-results';

import { type Clock, type Timer } from '../runtime';

import { type JsonReply } from './jsonReply';
import { type TransportError } from './transportError';

// A reply of a megabyte takes over a second on the slowest links of a fleet. Once it has begun, only
// a pause of this length ends it, or MAX_TRANSFER_MS after its deadline.
const STALL_TIMEOUT_MS = 400;
const MAX_TRANSFER_MS = 5000;
// Bounds the memory that one reply can take, before and after decompression.
const MAX_REPLY_BYTES = 16 * 1024 * 1024;

/** A request in progress: collects its reply and ends it once. */
export class PendingReply {
  private readonly chunks: Buffer[] = [];

  private receivedBytes = 0;

  private status = 0;

  private headers: JsonReply['headers'] = {};

  private isSettled = false;

  private timer: Timer;

  private expiresAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly deadline: number,
    private readonly settle: (result: Result<JsonReply, TransportError>) => void,
    private readonly closeConnection: () => void,
  ) {
    this.expiresAt = deadline;
    this.timer = this.armTimer();
  }

  /** Records the head of the reply. */
  begin(status: number, headers: JsonReply['headers']): void {
    this.status = status;
    this.headers = headers;
    this.extend();
  }

  /** Adds a part of the body. */
  append(chunk: Buffer): void {
    if (this.isSettled) return;
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > MAX_REPLY_BYTES) {
      this.fail('unreadable', `reply of more than ${MAX_REPLY_BYTES} bytes`);
      return;
    }
    this.chunks.push(chunk);
    this.extend();
  }

  /** Decodes the complete reply. */
  complete(): void {
    const bytes = Buffer.concat(this.chunks);
    if (this.headers['content-encoding'] !== 'gzip') {
      this.decode(bytes);
      return;
    }
    // The reply is whole: the time that its decompression takes says nothing about its sender.
    this.timer.cancel();
    gunzip(bytes, { maxOutputLength: MAX_REPLY_BYTES }, (error, decoded) => {
      if (error === null) this.decode(decoded);
      else this.end(Err({ kind: 'unreadable', message: error.message }));
    });
  }

  /** Ends the request without a reply and closes its connection. */
  fail(kind: TransportError['kind'], message: string): void {
    if (this.isSettled) return;
    this.end(Err({ kind, message }));
    this.closeConnection();
  }

  private decode(bytes: Buffer): void {
    const { status, headers } = this;
    try {
      const text = bytes.toString('utf8');
      const body = text === '' ? undefined : (JSON.parse(text) as unknown);
      this.end(Ok({ status, headers, body }));
    } catch (error) {
      if (status !== 200) this.end(Ok({ status, headers, body: undefined }));
      else this.end(Err({ kind: 'unreadable', message: (error as Error).message }));
    }
  }

  private extend(): void {
    const stallsAt = this.clock.now() + STALL_TIMEOUT_MS;
    this.expiresAt = Math.max(this.expiresAt, Math.min(stallsAt, this.deadline + MAX_TRANSFER_MS));
  }

  private armTimer(): Timer {
    return this.clock.setTimer(this.expiresAt, () => {
      if (this.clock.now() < this.expiresAt) this.timer = this.armTimer();
      else this.fail('timeout', 'no complete reply in time');
    });
  }

  private end(result: Result<JsonReply, TransportError>): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.timer.cancel();
    this.settle(result);
  }
}
