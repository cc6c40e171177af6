import { type EventSink } from '../logging';

import { FRESHNESS_EVENTS } from './events';

/** Reports once that the proof of a host has expired, and once that there is one again. */
export class ExpiryLog {
  private hasExpired = false;

  constructor(
    private readonly events: EventSink,
    /** Whether keyed calls are refused meanwhile. */
    private readonly isStrict: boolean,
  ) {}

  /** Notes whether the proof is too old now. */
  update(isExpired: boolean, ageMs: number): void {
    if (isExpired === this.hasExpired) return;
    this.hasExpired = isExpired;
    const event = isExpired ? FRESHNESS_EVENTS.expired : FRESHNESS_EVENTS.regained;
    this.events.emit(event, {
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
      refusesKeyedCalls: isExpired && this.isStrict,
    });
  }
}
