import { type KnowledgeTable } from '../knowledge';
import { type EventSink } from '../logging';
import { type Clock, type Random } from '../runtime';

import { type RunningAttempt } from './runningAttempt';
import { type AttemptResult } from './attemptResult';
import { type CrashGuard } from './crashGuard';
import { type IncomingCall } from './incomingCall';
import { type Placer } from './placer';

/** What the task of a call uses of its host. */
export interface DeliveryContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly knowledge: KnowledgeTable;
  readonly placer: Placer;
  readonly crashes: CrashGuard;
  /** Opens an attempt at a target of the catalog; `onEnd` is called once. */
  openAttempt(
    call: IncomingCall,
    targetId: string,
    onEnd: (attempt: RunningAttempt, result: AttemptResult) => void,
  ): RunningAttempt;
  /** Counts the first attempt of a call to a service. */
  noteFirst(service: string): void;
  /** Takes one repeat from the budget of a service; false when it is spent. */
  takeRepeat(service: string): boolean;
}
