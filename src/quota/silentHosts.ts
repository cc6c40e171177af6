import { type Clock } from '../runtime';

// Interval at which a host that did not answer is asked again by a single question.
const TRIAL_INTERVAL_MS = 250;

/** Hosts that did not answer a question lately, and are passed over. */
export class SilentHosts {
  private readonly nextTrialAt = new Map<string, number>();

  private readonly heardAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that a host has answered; true if it was silent. */
  recordAnswer(ip: string): boolean {
    this.heardAt.set(ip, this.clock.now());
    return this.nextTrialAt.delete(ip);
  }

  /**
   * Records that a question which was first sent at `sentAt` has no answer; true if the host is silent
   * now and was not before. A host that has answered a later question is not silent.
   */
  recordSilence(ip: string, sentAt: number): boolean {
    if ((this.heardAt.get(ip) ?? -Infinity) >= sentAt) return false;
    const isNew = !this.nextTrialAt.has(ip);
    this.nextTrialAt.set(ip, this.clock.now() + TRIAL_INTERVAL_MS);
    return isNew;
  }

  isSilent(ip: string): boolean {
    return this.nextTrialAt.has(ip);
  }

  /** Whether a question may be sent: the host is not silent, or is due for a trial, which this is. */
  mayAsk(ip: string): boolean {
    const trialAt = this.nextTrialAt.get(ip);
    if (trialAt === undefined) return true;
    const now = this.clock.now();
    if (now < trialAt) return false;
    this.nextTrialAt.set(ip, now + TRIAL_INTERVAL_MS);
    return true;
  }

  /** Removes the state of hosts for which `has` is false. */
  retainHosts(has: (ip: string) => boolean): void {
    for (const times of [this.nextTrialAt, this.heardAt])
      for (const ip of times.keys()) if (!has(ip)) times.delete(ip);
  }
}
