import { type CrashHistory } from '../knowledge';
import { type EventSink } from '../logging';
import { type Clock } from '../runtime';
import { CRASHES_TO_REFUSE, type CrashTable, fingerprintOf } from '../suspects';

import { type RunningAttempt } from './runningAttempt';
import { DELIVERY_EVENTS } from './events';
import { type IncomingCall } from './incomingCall';

// Time within which a crashed target is observed to refuse connections.
const CRASH_CONFIRM_DELAY_MS = 400;

/** Sends a changed history of crashes to the other hosts. */
export interface CrashBroadcaster {
  broadcastCrashes(history: CrashHistory): void;
}

/** Detects and refuses calls that crash the targets that run them (queries of death). */
export class CrashGuard {
  constructor(
    private readonly clock: Clock,
    private readonly table: CrashTable,
    private readonly events: EventSink,
    private readonly broadcaster: CrashBroadcaster,
    /** Whether the target became unreachable after a monotonic time. */
    private readonly wasLostAfter: (target: string, at: number) => boolean,
  ) {}

  /** Whether a target crashed while it ran a call with the same fingerprint. */
  isSuspect(call: IncomingCall): boolean {
    return !this.table.isEmpty() && this.table.count(this.fingerprint(call)) > 0;
  }

  /** Whether the call is refused because calls with its fingerprint crashed several targets. */
  isRefused(call: IncomingCall): boolean {
    return !this.table.isEmpty() && this.table.count(this.fingerprint(call)) >= CRASHES_TO_REFUSE;
  }

  /** Checks, a short time after a connection broke without an answer, whether the target crashed. */
  recordBroken(attempt: RunningAttempt): void {
    const { sentAt, target, call } = attempt;
    if (sentAt === null) return;
    this.clock.setTimer(this.clock.now() + CRASH_CONFIRM_DELAY_MS, () => {
      if (!this.wasLostAfter(target.id, sentAt)) return;
      const fingerprint = this.fingerprint(call);
      // One start of a target crashes once, however many such calls it was running.
      const crash = `${target.id} ${target.startedAt ?? ''}`;
      this.broadcaster.broadcastCrashes(this.table.record(fingerprint, crash));
      const crashes = this.table.count(fingerprint);
      this.events.emit(DELIVERY_EVENTS.crash, { call: call.id, target: target.id, crashes });
    });
  }

  /** Clears the suspicion against a call that was answered. */
  recordAnswered(call: IncomingCall): void {
    if (!this.isSuspect(call)) return;
    this.broadcaster.broadcastCrashes(this.table.clear(this.fingerprint(call)));
  }

  private fingerprint(call: IncomingCall): string {
    const { method, path, body, route } = call;
    const bufferedBody = Buffer.isBuffer(body) ? body : null;
    return fingerprintOf({ service: route.hostName, method, path, key: null, body: bufferedBody });
  }
}
