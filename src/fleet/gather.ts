import { type Clock } from '../runtime';

/** Asks all hosts in parallel; resolves when `isEnough`, all have replied, or at `deadline`. */
export function gatherReplies<Reply>(
  hosts: readonly string[],
  ask: (hostId: string) => Promise<Reply | null>,
  isEnough: (replies: ReadonlyMap<string, Reply>) => boolean,
  clock: Clock,
  deadline: number,
): Promise<ReadonlyMap<string, Reply>> {
  const replies = new Map<string, Reply>();
  if (hosts.length === 0) return Promise.resolve(replies);
  return new Promise((resolve) => {
    let pendingCount = hosts.length;
    const timer = clock.setTimer(deadline, () => resolve(new Map(replies)));
    const handleReply = (hostId: string, reply: Reply | null) => {
      pendingCount -= 1;
      // After a pause of this process, a reply may be read past the deadline; it must not count.
      if (reply !== null && clock.now() < deadline) replies.set(hostId, reply);
      if (pendingCount > 0 && !isEnough(replies)) return;
      timer.cancel();
      resolve(new Map(replies));
    };
    for (const hostId of hosts) {
      ask(hostId).then(
        (reply) => handleReply(hostId, reply),
        () => handleReply(hostId, null),
      );
    }
  });
}
