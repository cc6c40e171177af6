import { type EventSink } from '../logging';
import { type Clock } from '../runtime';
import { CRASHES_TO_REFUSE, type CrashTable, fingerprintOf } from '../suspects';

import { type RunningAttempt } from './runningAttempt';
import { DELIVERY_EVENTS } from './events';
import { type IncomingCall } from './incomingCall';

// Time in which a target that died is found to refuse connections.
const CONFIRM_MS = 400;

/** What the guard tells the other hosts. */
export interface CrashTeller {
  tellCrash(fingerprint: string, callId: string, cleared: boolean): void;
}

/** Recognises calls that crash the targets that run them. */
export class CrashGuard {
  constructor(
    private readonly clock: Clock,
    private readonly table: CrashTable,
    private readonly events: EventSink,
    private readonly teller: CrashTeller,
    /** Whether the target was lost after a monotonic time. */
    private readonly wasLostAfter: (target: string, at: number) => boolean,
  ) {}

  /** Whether a target died while it ran such a call. */
  isSuspect(call: IncomingCall): boolean {
    return !this.table.isEmpty() && this.table.count(this.fingerprint(call)) > 0;
  }

  /** Whether the call is refused, since such calls crashed several targets. */
  isRefused(call: IncomingCall): boolean {
    return !this.table.isEmpty() && this.table.count(this.fingerprint(call)) >= CRASHES_TO_REFUSE;
  }

  /** Looks a moment after a connection broke without an answer whether its target died. */
  noteBroken(attempt: RunningAttempt): void {
    const { sentAt, target, call } = attempt;
    if (sentAt === null) return;
    this.clock.setTimer(this.clock.now() + CONFIRM_MS, () => {
      if (!this.wasLostAfter(target.id, sentAt)) return;
      const fingerprint = this.fingerprint(call);
      const name = `${call.id} ${target.id}`;
      this.table.note(fingerprint, name);
      this.teller.tellCrash(fingerprint, name, false);
      const crashes = this.table.count(fingerprint);
      this.events.emit(DELIVERY_EVENTS.crash, { call: call.id, target: target.id, crashes });
    });
  }

  /** A suspect that got its answer is none. */
  noteAnswered(call: IncomingCall): void {
    if (!this.isSuspect(call)) return;
    const fingerprint = this.fingerprint(call);
    this.table.clear(fingerprint);
    this.teller.tellCrash(fingerprint, call.id, true);
  }

  private fingerprint(call: IncomingCall): string {
    const { method, path, body, route } = call;
    const kept = Buffer.isBuffer(body) ? body : null;
    return fingerprintOf({ service: route.hostName, method, path, key: null, body: kept });
  }
}
