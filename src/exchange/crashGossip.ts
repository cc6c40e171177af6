import { type Clock, type Random, runEvery, sample } from '../runtime';
import { type CrashHistory } from '../knowledge';

import { type Membership } from './membership';
import { type Message } from './message';

const GOSSIP_INTERVAL_MS = 500;
// Histories of calls that crashed several targets still fit into one datagram.
const HISTORIES_PER_DATAGRAM = 4;
// Bounds what one request for members brings about.
const MAX_HISTORIES_PER_REPLY = 100;

/** Dependencies of `CrashGossip`. */
export interface CrashGossipParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly membership: Membership;
  readonly histories: () => readonly CrashHistory[];
  readonly send: (ips: readonly string[], message: Message) => void;
}

/**
 * Tells other hosts of the crashes that this one knows: all of them to a host that joins, and some
 * twice a second to random hosts, for those that were cut off when the crash was broadcast.
 */
export class CrashGossip {
  private cancelTimer: () => void = () => {};

  constructor(private readonly parts: CrashGossipParts) {}

  /** Starts the periodic messages; none are sent while no crash is known. */
  start(): void {
    const { clock, random, membership } = this.parts;
    this.cancelTimer = runEvery(clock, GOSSIP_INTERVAL_MS, () => {
      const histories = sample(random, this.parts.histories(), HISTORIES_PER_DATAGRAM);
      const hosts = [
        ...sample(random, membership.neighbours(), 1),
        ...sample(random, membership.live(), 1),
      ];
      this.send([...new Set(hosts.map((host) => host.ip))], histories);
    });
  }

  /** Stops sending. */
  close(): void {
    this.cancelTimer();
  }

  /** Sends what this host knows to a host that joins. */
  sendAll(ip: string): void {
    const histories = this.parts.histories().slice(-MAX_HISTORIES_PER_REPLY);
    for (let from = 0; from < histories.length; from += HISTORIES_PER_DATAGRAM)
      this.send([ip], histories.slice(from, from + HISTORIES_PER_DATAGRAM));
  }

  private send(ips: readonly string[], histories: readonly CrashHistory[]): void {
    if (histories.length > 0) this.parts.send(ips, { kind: 'crashes', histories });
  }
}
