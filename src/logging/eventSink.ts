import { type EventDefinition } from './eventDefinition';
import { type EventFields } from './eventLog';

/** Receives numbered events. */
export interface EventSink {
  emit(event: EventDefinition, fields?: EventFields): void;
}
