/** Severity of an event, as the name of a bunyan level. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** One numbered event of the catalogue in docs/events.md. */
export interface EventDefinition {
  readonly number: number;
  readonly level: EventLevel;
  readonly message: string;
}
