import { type Result } from 'ts-results';

import { type Supervisor } from '../lifecycle';
import { type EventSink } from '../logging';
import { type Clock, waitUntil } from '../runtime';

import { BALANCER_EVENTS } from './events';

const RETRY_MS = 100;

/** Dependencies of `Addresses`. */
export interface AddressesParts {
  readonly clock: Clock;
  readonly tasks: Supervisor;
  readonly events: EventSink;
  /** Called when an address was opened after a wait. */
  readonly onOpened: () => void;
}

/**
 * Opens the addresses of a host, each independently of the others. Another process may hold one for any
 * time, so an address that cannot be opened is tried again until it is open or `close` is called.
 */
export class Addresses {
  private readonly closing = new AbortController();

  private readonly awaited = new Set<string>();

  constructor(private readonly parts: AddressesParts) {}

  /** Settings of the addresses that are not open yet. */
  waitingFor(): readonly string[] {
    return [...this.awaited];
  }

  /** Calls `open` until it succeeds; resolves after the first attempt. `name` is the setting. */
  async open(name: string, open: () => Promise<Result<void, string>>): Promise<void> {
    const { clock, events, tasks } = this.parts;
    this.awaited.add(name);
    const startedAt = clock.now();
    const first = await open();
    if (first.ok) this.awaited.delete(name);
    else {
      events.emit(BALANCER_EVENTS.addressInUse, { part: name, reason: first.val });
      void tasks.run(`opening ${name}`, () => this.retry(name, open, startedAt));
    }
  }

  /** Ends the attempts to open addresses. */
  close(): void {
    this.closing.abort();
  }

  private async retry(
    name: string,
    open: () => Promise<Result<void, string>>,
    startedAt: number,
  ): Promise<void> {
    const { clock, events, onOpened } = this.parts;
    while (this.awaited.has(name)) {
      await waitUntil(clock, clock.now() + RETRY_MS, this.closing.signal);
      if (this.closing.signal.aborted) return;
      if ((await open()).ok) this.awaited.delete(name);
    }
    const waitedMs = Math.round(clock.now() - startedAt);
    events.emit(BALANCER_EVENTS.addressOpened, { part: name, waitedMs });
    onOpened();
  }
}
