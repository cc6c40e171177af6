import { type ChildProcessWithoutNullStreams } from 'node:child_process';
import { type Writable } from 'node:stream';

import { type FindingLog } from './findingLog';
import { type HostHistory } from './hostHistory';

// Events for errors that nothing in the program expects.
const UNEXPECTED_EVENTS = [2207, 2315, 2321];
const LAST_LINES = 8;
const POLL_MS = 20;

interface LifeParts {
  readonly host: string;
  readonly child: ChildProcessWithoutNullStreams;
  readonly graceMs: number;
  readonly history: HostHistory;
  readonly findings: FindingLog;
  /** Also gets the output of the process; null for none. */
  readonly copy: Writable | null;
}

/** One process of a host, from its start to its end. */
export class HostLife {
  readonly startedAt = performance.now();

  /** Resolves when the process is gone. */
  readonly ended: Promise<void>;

  hasEnded = false;

  /** Whether the process ended although nobody had asked it to. */
  hasEndedByItself = false;

  /** Whether its readiness was seen to be 200. */
  wasReady = false;

  private stopRequestedAt: number | null = null;

  private isKilled = false;

  private frozenSince: number | null = null;

  /** Time for which it was suspended since it was asked to stop. */
  private frozenMs = 0;

  private output = '';

  private recentLines: readonly string[] = [];

  constructor(private readonly parts: LifeParts) {
    const { child } = parts;
    child.stdout.on('data', (chunk: Buffer) => this.readOutput(chunk.toString('utf8')));
    child.stderr.on('data', (chunk: Buffer) => this.readOutput(chunk.toString('utf8')));
    this.ended = new Promise((resolve) => {
      // Follows the end of the output, unlike `exit`.
      child.once('close', (code, signal) => {
        this.hasEnded = true;
        this.judgeEnd(code, signal);
        resolve();
      });
    });
  }

  /** Whether the process runs and has not been asked to stop. */
  isServing(): boolean {
    return !this.hasEnded && !this.isKilled && this.stopRequestedAt === null;
  }

  /** Whether it may get signals: its program runs, as its output shows, or it is `minAgeMs` old. */
  takesSignals(minAgeMs: number): boolean {
    const hasOutput = this.recentLines.length > 0;
    return !this.hasEnded && (hasOutput || performance.now() - this.startedAt >= minAgeMs);
  }

  /** Sends a signal that must not end the process by its default action. */
  signal(name: 'SIGHUP' | 'SIGTERM' | 'SIGINT'): void {
    if (name !== 'SIGHUP' && this.stopRequestedAt === null) {
      this.stopRequestedAt = performance.now();
      this.frozenMs = 0;
    }
    this.parts.child.kill(name);
  }

  /** Sends SIGTERM; kills the process after the grace period, as the platform does. */
  async stop(): Promise<void> {
    const { findings, graceMs, history, host } = this.parts;
    const endStop = history.begin('stop');
    this.signal('SIGTERM');
    while (!this.hasEnded && this.isWithinGrace()) await this.sleep(POLL_MS);
    if (!this.hasEnded && !this.isKilled) {
      findings.add('GRACE', `${host} runs ${graceMs} ms after SIGTERM; ${this.lastLines()}`);
      this.kill();
    }
    await this.ended;
    endStop();
  }

  /** Ends the process with SIGKILL. */
  kill(): void {
    if (this.hasEnded || this.isKilled) return;
    this.isKilled = true;
    // On a busy machine, a killed process closes its connections some time later.
    const endKill = this.parts.history.begin('kill');
    this.parts.child.kill('SIGKILL');
    void this.ended.then(endKill);
  }

  /** Suspends the process for a time in milliseconds. */
  async freeze(milliseconds: number): Promise<void> {
    if (this.hasEnded || this.frozenSince !== null) return;
    const endFreeze = this.parts.history.begin('freeze');
    this.frozenSince = performance.now();
    this.parts.child.kill('SIGSTOP');
    await this.sleep(milliseconds);
    this.parts.child.kill('SIGCONT');
    this.frozenMs += performance.now() - Math.max(this.frozenSince, this.stopRequestedAt ?? 0);
    this.frozenSince = null;
    endFreeze();
  }

  /** The last lines of its log. */
  lastLines(): string {
    return `last lines:\n${[...this.recentLines, this.output].join('\n')}`;
  }

  // The time for which the process is suspended does not count.
  private isWithinGrace(): boolean {
    if (this.frozenSince !== null) return true;
    return performance.now() - this.stopRequestedAt! - this.frozenMs < this.parts.graceMs;
  }

  private readOutput(text: string): void {
    this.parts.copy?.write(text);
    this.output += text;
    const lines = this.output.split('\n');
    this.output = lines.pop()!;
    const { findings, history, host } = this.parts;
    for (const line of lines) {
      const call = /"call":"([^"]+)"/.exec(line)?.[1];
      if (call !== undefined) history.readCalls.add(call);
      const event = Number(/"event":(\d+)/.exec(line)?.[1]);
      if (UNEXPECTED_EVENTS.includes(event)) findings.add('UNEXPECTED', `${host}: ${line}`);
    }
    this.recentLines = [...this.recentLines, ...lines].slice(-LAST_LINES);
  }

  private judgeEnd(code: number | null, signal: NodeJS.Signals | null): void {
    if (this.isKilled) return;
    const { findings, host } = this.parts;
    const age = `${Math.round(performance.now() - this.startedAt)} ms after its start`;
    const end = `${host} ended with code ${code}, signal ${signal}, ${age}`;
    if (this.stopRequestedAt !== null) {
      if (code !== 0) findings.add('STOP', `${end}, after SIGTERM; ${this.lastLines()}`);
      return;
    }
    this.hasEndedByItself = true;
    findings.add('FAULT', `${end}, by itself; ${this.lastLines()}`);
  }

  private sleep(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
  }
}
