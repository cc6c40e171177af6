import { type KeyValidity } from '../freshness';
import { type TargetStatisticsTable } from '../knowledge';
import { type EventSink } from '../logging';
import { type Clock, type Random } from '../runtime';

import { type RunningAttempt } from './runningAttempt';
import { type AttemptResult } from './attemptResult';
import { type CrashGuard } from './crashGuard';
import { type IncomingCall } from './incomingCall';
import { type Placer } from './placer';

/** Services that the task of a call uses. */
export interface DeliveryContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly targetStates: TargetStatisticsTable;
  readonly placer: Placer;
  readonly crashes: CrashGuard;
  /** Monotonic time by which the last answer must be sent; Infinity unless the host is stopping. */
  readonly stopDeadline: () => number;
  /** Whether callers' keys may be used. */
  readonly keys: KeyValidity;
  /** Opens an attempt at a target of the catalog; `onEnd` is called once. */
  openAttempt(
    call: IncomingCall,
    targetId: string,
    onEnd: (attempt: RunningAttempt, result: AttemptResult) => void,
  ): RunningAttempt;
  /** Records the first attempt of a call, which adds to the retry budget of its service. */
  recordFirstAttempt(service: string): void;
  /** Records that a call yields its slot to urgent calls that are expected. */
  recordYield(service: string): void;
  /** Records that a call is placed first because its rank or tenant was passed over too often. */
  recordTurn(service: string): void;
  /** Whether this host has connections to spare for hedges. */
  mayHedge(): boolean;
  /** Acquires one retry or hedge from the retry budget of a service; false when it is exhausted. */
  acquireRetry(service: string): boolean;
  /** Returns a retry or hedge that was acquired and not sent. */
  returnRetry(service: string): void;
}
