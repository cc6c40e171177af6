import { type EventDefinition } from './eventDefinition';
import { type EventFields } from './eventLog';

/** Where numbered events go. */
export interface EventSink {
  emit(event: EventDefinition, fields?: EventFields): void;
}
