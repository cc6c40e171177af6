import { type Clock } from '../runtime';

/** Asks all hosts at once; ends when `enough` holds, all have replied, or `until` is reached. */
export function gather<Reply>(
  hosts: readonly string[],
  ask: (hostId: string) => Promise<Reply | null>,
  enough: (replies: ReadonlyMap<string, Reply>) => boolean,
  clock: Clock,
  until: number,
): Promise<ReadonlyMap<string, Reply>> {
  const replies = new Map<string, Reply>();
  if (hosts.length === 0) return Promise.resolve(replies);
  return new Promise((resolve) => {
    let open = hosts.length;
    const timer = clock.setTimer(until, () => resolve(new Map(replies)));
    const settle = (hostId: string, reply: Reply | null) => {
      open -= 1;
      // A reply that is read late, after a pause of this process, must not count.
      if (reply !== null && clock.now() < until) replies.set(hostId, reply);
      if (open > 0 && !enough(replies)) return;
      timer.cancel();
      resolve(new Map(replies));
    };
    for (const hostId of hosts) {
      ask(hostId).then(
        (reply) => settle(hostId, reply),
        () => settle(hostId, null),
      );
    }
  });
}
