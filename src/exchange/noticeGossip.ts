import { type Clock, type Random, runEvery, sample } from '../runtime';

import { type Membership } from './membership';
import { type Message } from './message';
import { type Notices } from './notices';

const GOSSIP_INTERVAL_MS = 500;
// Notices of each kind in one message, which then still fits into one datagram.
const MAX_NOTICES = 4;
// Bounds what one request for members brings about.
const MAX_NOTICES_PER_REPLY = 100;

/** Dependencies of `NoticeGossip`. */
export interface NoticeGossipParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly membership: Membership;
  readonly notices: () => Notices;
  readonly send: (ips: readonly string[], message: Message) => void;
}

/**
 * Repeats the notices that this host knows: all of them to a host that joins, and some twice a second
 * to random hosts, for those that were cut off when they were broadcast.
 */
export class NoticeGossip {
  private cancelTimer: () => void = () => {};

  constructor(private readonly parts: NoticeGossipParts) {}

  /** Starts the periodic messages; none are sent while nothing is known. */
  start(): void {
    const { clock, random } = this.parts;
    this.cancelTimer = runEvery(clock, GOSSIP_INTERVAL_MS, () => {
      const { crashes, leaving } = this.parts.notices();
      this.send(this.randomHosts(), {
        crashes: sample(random, crashes, MAX_NOTICES),
        leaving: sample(random, leaving, MAX_NOTICES),
      });
    });
  }

  /** Stops sending. */
  close(): void {
    this.cancelTimer();
  }

  /**
   * Passes on what was news to this host in a repeated message: whoever told the sender may have been
   * cut off from all others.
   */
  passOn(news: Notices): void {
    this.send(this.randomHosts(), news);
  }

  /** Sends what this host knows to a host that joins. */
  sendAll(ip: string): void {
    const { crashes, leaving } = this.parts.notices();
    const count = Math.min(MAX_NOTICES_PER_REPLY, Math.max(crashes.length, leaving.length));
    for (let from = 0; from < count; from += MAX_NOTICES)
      this.send([ip], {
        crashes: crashes.slice(from, from + MAX_NOTICES),
        leaving: leaving.slice(from, from + MAX_NOTICES),
      });
  }

  private randomHosts(): readonly string[] {
    const { random, membership } = this.parts;
    const hosts = [
      ...sample(random, membership.neighbours(), 1),
      ...sample(random, membership.live(), 1),
    ];
    return [...new Set(hosts.map((host) => host.ip))];
  }

  private send(ips: readonly string[], { crashes, leaving }: Notices): void {
    if (crashes.length + leaving.length === 0) return;
    this.parts.send(ips, { kind: 'notices', isRepeated: true, crashes, leaving });
  }
}
