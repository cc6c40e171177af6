import { type EventDefinition } from './eventDefinition';

/**
 * Checks and freezes the events of one module. Throws unless all numbers are unique and lie in
 * [`firstNumber`, `firstNumber` + 99].
 */
export function defineEvents<Name extends string>(
  firstNumber: number,
  events: Readonly<Record<Name, EventDefinition>>,
): Readonly<Record<Name, EventDefinition>> {
  const usedNumbers = new Set<number>();
  for (const event of Object.values<EventDefinition>(events)) {
    if (event.number < firstNumber || event.number > firstNumber + 99) {
      throw new RangeError(
        `event ${event.number} is outside ${firstNumber} to ${firstNumber + 99}`,
      );
    }
    if (usedNumbers.has(event.number))
      throw new RangeError(`event ${event.number} is defined twice`);
    usedNumbers.add(event.number);
  }
  return Object.freeze(events);
}
