/** Severity of an event; the names are bunyan's levels. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** One numbered event of the catalogue in docs/events.md. */
export interface EventDefinition {
  readonly number: number;
  readonly level: EventLevel;
  readonly message: string;
}
