import { type IncomingHttpHeaders } from 'node:http';

import { type AttemptResult, type Slot } from '../routing';

import { type Answer, type BodyEnd, type BodySink } from './transmission';

const INCOMPLETE_RESULTS: Readonly<Record<Exclude<BodyEnd, 'whole'>, AttemptResult>> = {
  lost: { kind: 'connection-lost' },
  deadline: { kind: 'deadline' },
  cancelled: { kind: 'cancelled' },
};

/** An answer of a target that returns the target's slot exactly once, when the answer ends. */
export class SlotAnswer implements Answer {
  private isSlotReturned = false;

  constructor(
    private readonly received: Answer,
    private readonly slot: Slot,
    private readonly result: AttemptResult,
  ) {}

  get status(): number {
    return this.received.status;
  }

  get headers(): IncomingHttpHeaders {
    return this.received.headers;
  }

  get target(): string {
    return this.slot.target.target;
  }

  streamTo(sink: BodySink): void {
    this.received.streamTo({
      data: (chunk, drained) => sink.data(chunk, drained),
      end: (end) => {
        this.returnSlot(end === 'whole' ? this.result : INCOMPLETE_RESULTS[end]);
        sink.end(end);
      },
    });
  }

  cancel(): void {
    this.received.cancel();
    this.returnSlot(INCOMPLETE_RESULTS.cancelled);
  }

  /** Reads and discards the body. */
  discard(): void {
    this.streamTo({ data: () => true, end: () => {} });
  }

  private returnSlot(result: AttemptResult): void {
    if (this.isSlotReturned) return;
    this.isSlotReturned = true;
    this.slot.finish(result);
  }
}
