import type Logger from 'bunyan';

import { type EventDefinition } from './eventDefinition';

/** Fields of an event's log line. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Writes numbered events through bunyan. */
export class EventLog {
  constructor(private readonly logger: Logger) {}

  /** Writes one event; `fields` become top-level fields of the log line. */
  emit(event: EventDefinition, fields: EventFields = {}): void {
    this.logger[event.level]({ event: event.number, ...fields }, event.message);
  }
}
