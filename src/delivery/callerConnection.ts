import { type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';

import { type Clock, type TurnQueue } from '../runtime';

import { type CallEnd } from './callEnd';
import { CallerInput } from './callerInput';
import { type CallRun } from './callRun';

// A caller that has read its last answer closes the connection; one that does not is disconnected.
const LINGER_MS = 500;
// Calls sent behind others are not read while this many are open.
const MAX_OPEN_CALLS = 16;

/** The connection of a caller, with the calls on it that are not completely answered. */
export class CallerConnection {
  private readonly openCalls = new Set<() => void>();

  private readonly runs = new Set<CallRun>();

  private lastCallEnded: Promise<void> = Promise.resolve();

  private mayReadCalls = true;

  private readonly input: CallerInput;

  constructor(
    private readonly socket: Socket,
    private readonly clock: Clock,
    turns: TurnQueue,
  ) {
    this.input = new CallerInput(socket, turns);
    // Node.js calls this behind an answer that closes the connection. Its own version closes the socket
    // at once, which resets the connection if the caller has sent more: the answer may be lost.
    socket.destroySoon = () => this.close();
    socket.once('close', () => {
      for (const end of this.openCalls) end();
      for (const run of this.runs) run.callerLeft();
    });
  }

  /** Whether a call is not completely answered. */
  hasOpenCalls(): boolean {
    return this.openCalls.size > 0;
  }

  /** Whether no other call waits for its answer behind the one that is being answered. */
  hasOneOpenCall(): boolean {
    return this.openCalls.size === 1;
  }

  /** Whether further calls are read; those that are not are neither run nor answered. */
  readsCalls(): boolean {
    return this.mayReadCalls;
  }

  /** Reads no further calls; closes the connection when the open ones are answered. */
  stopReadingCalls(): void {
    this.mayReadCalls = false;
    if (!this.hasOpenCalls()) this.close();
  }

  /**
   * Adds a call, and runs `onEnd` when it is answered or the connection has closed; resolves when the
   * earlier calls on the connection have ended.
   */
  begin(response: ServerResponse, onEnd: () => void): Promise<void> {
    const earlierCallsEnded = this.lastCallEnded;
    this.lastCallEnded = new Promise((resolve) => {
      const end = () => {
        if (!this.openCalls.delete(end)) return;
        onEnd();
        resolve();
        if (this.openCalls.size < MAX_OPEN_CALLS) this.input.release();
        if (!this.mayReadCalls && !this.hasOpenCalls()) this.close();
      };
      this.openCalls.add(end);
      if (this.openCalls.size >= MAX_OPEN_CALLS) this.input.hold();
      response.once('close', end);
    });
    return earlierCallsEnded;
  }

  /** Runs a call to its end; the caller leaves it by closing the connection. */
  async run(run: CallRun): Promise<CallEnd> {
    // Only the first of the answers that wait for their turn is closed with the connection.
    if (this.socket.destroyed) run.callerLeft();
    this.runs.add(run);
    return run.run().finally(() => this.runs.delete(run));
  }

  /** Ends the connection, and discards what the caller still sends until it closes its side. */
  close(): void {
    if (this.socket.writableEnded || this.socket.destroyed) return;
    this.mayReadCalls = false;
    this.socket.end();
    this.input.release();
    this.socket.resume();
    const timer = this.clock.setTimer(this.clock.now() + LINGER_MS, () => this.socket.destroy());
    this.socket.once('close', () => timer.cancel());
  }
}
