import { hostname } from 'node:os';

import {
  BufferedWriter,
  type EventDefinition,
  type EventFields,
  type EventSink,
  LineLog,
  writeNow,
} from '../logging';
import { type Clock, waitUntil } from '../runtime';

import { BALANCER_EVENTS } from './events';
import { openLogOutput } from './logOutput';

// Bounds the memory for lines that wait for a slow reader of the log.
const LOG_BUFFER_BYTES = 1024 * 1024;
// Bounds the end of a process whose log nobody reads.
const FLUSH_TIMEOUT_MS = 100;
const LAST_LINE_TIMEOUT_MS = 20;
const STANDARD_OUTPUT = 1;
const STANDARD_ERROR = 2;

/**
 * The log of the process. Its last line states why the process ends and its exit code, on every path
 * that JavaScript code can observe; only a signal or an abort of the runtime leaves none.
 */
export class ProcessLog implements EventSink {
  private readonly output = openLogOutput();

  private readonly writer = new BufferedWriter(this.output, LOG_BUFFER_BYTES);

  // The id of the host is not known before its settings are read.
  private lines = this.linesOf(hostname());

  private reason = 'no task was left to run';

  private hasEnded = false;

  constructor(private readonly clock: Clock) {
    process.on('exit', (code) => this.writeLastLine(code));
  }

  emit(event: EventDefinition, fields?: EventFields): void {
    this.lines.emit(event, fields);
  }

  /** Names the host in all further lines. */
  nameHost(hostId: string): void {
    this.lines = this.linesOf(hostId);
  }

  /** Number of lines dropped since the start. */
  droppedLines(): number {
    return this.writer.droppedLines();
  }

  /**
   * Writes the last line, with `reason` and `code`, and resolves once the output has accepted all lines
   * or after 100 ms. What was not accepted then is tried once more when the process exits.
   */
  async end(reason: string, code: number): Promise<void> {
    this.reason = reason;
    this.emit(BALANCER_EVENTS.exited, { reason, code });
    this.hasEnded = await Promise.race([
      this.writer.close().then(() => true),
      waitUntil(this.clock, this.clock.now() + FLUSH_TIMEOUT_MS).then(() => false),
    ]);
  }

  private linesOf(hostId: string): LineLog {
    return new LineLog(this.writer, 'limpetknot', hostId, () => new Date());
  }

  private writeLastLine(code: number): void {
    if (this.hasEnded) return;
    const line = this.lines.format(BALANCER_EVENTS.exited, { reason: this.reason, code });
    const deadline = this.clock.now() + LAST_LINE_TIMEOUT_MS;
    const mayRetry = () => this.clock.now() < deadline;
    const buffered = this.writer.closeNow();
    // A line of which the output has accepted a part must not swallow this one.
    const separator = this.output.writableLength > 0 ? '\n' : '';
    if (!writeNow(STANDARD_OUTPUT, `${separator}${buffered}${line}`, mayRetry))
      writeNow(STANDARD_ERROR, line, mayRetry);
  }
}
