import { type IncomingHttpHeaders } from 'node:http';

import { type AttemptResult, type Slot } from '../routing';

import { type Answer, type BodyEnd, type BodySink } from './transmission';

const BROKEN_ENDS: Readonly<Record<Exclude<BodyEnd, 'whole'>, AttemptResult>> = {
  lost: { kind: 'connection-lost' },
  deadline: { kind: 'deadline' },
  cancelled: { kind: 'cancelled' },
};

/** An answer of a target; it returns the target's slot exactly once, when the answer ends. */
export class SlotAnswer implements Answer {
  private returned = false;

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
        this.finish(end === 'whole' ? this.result : BROKEN_ENDS[end]);
        sink.end(end);
      },
    });
  }

  cancel(): void {
    this.received.cancel();
    this.finish(BROKEN_ENDS.cancelled);
  }

  /** Reads the answer to its end without passing it on. */
  discard(): void {
    this.streamTo({ data: () => true, end: () => {} });
  }

  private finish(result: AttemptResult): void {
    if (this.returned) return;
    this.returned = true;
    this.slot.finish(result);
  }
}
