import { type BufferedWriter } from './bufferedWriter';
import { type EventDefinition, type EventLevel } from './eventDefinition';
import { type EventFields } from './eventLog';
import { type EventSink } from './eventSink';

const BUNYAN_LEVELS: Readonly<Record<EventLevel, number>> = {
  debug: 20,
  info: 30,
  warn: 40,
  error: 50,
};

/**
 * Writes events as bunyan records through a buffered writer: never blocks, and drops and counts
 * what does not fit. The fixed fields are serialised once, since bunyan's own formatting costs
 * about 10 microseconds a line.
 */
export class LineLog implements EventSink {
  private readonly prefix: string;

  constructor(
    private readonly writer: BufferedWriter,
    name: string,
    hostId: string,
    private readonly wallClock: () => Date,
  ) {
    const fixed = { name, hostname: hostId, pid: process.pid, v: 0 };
    this.prefix = JSON.stringify(fixed).slice(0, -1);
  }

  emit(event: EventDefinition, fields: EventFields = {}): void {
    const time = this.wallClock().toISOString();
    const rest = JSON.stringify(fields).slice(1);
    const head = `${this.prefix},"level":${BUNYAN_LEVELS[event.level]},"event":${event.number}`;
    const separator = rest === '}' ? '' : ',';
    this.writer.write(`${head},"msg":"${event.message}","time":"${time}"${separator}${rest}\n`);
  }
}
