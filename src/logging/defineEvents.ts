import { type EventDefinition } from './eventDefinition';

/** Checks and freezes the events of one module; numbers lie in [`first`, `first` + 99]. */
export function defineEvents<Name extends string>(
  first: number,
  events: Readonly<Record<Name, EventDefinition>>,
): Readonly<Record<Name, EventDefinition>> {
  const seen = new Set<number>();
  for (const event of Object.values<EventDefinition>(events)) {
    if (event.number < first || event.number > first + 99) {
      throw new RangeError(`event ${event.number} is outside ${first} to ${first + 99}`);
    }
    if (seen.has(event.number)) throw new RangeError(`event ${event.number} is defined twice`);
    seen.add(event.number);
  }
  return Object.freeze(events);
}
