import { Err, Ok, type Result } from 'ts-results';

import {
  type ReceivedHeartbeat,
  HEARTBEAT_INTERVAL_MS,
  HeartbeatSession,
  type HeartbeatStatus,
  type PeerAddress,
  type PeerError,
  type PeerMethod,
  type PeerMethods,
  type PeerTransport,
} from '../../src/peer';
import { ManualClock, type Random } from '../../src/runtime';

import { SimProcess } from './simProcess';

const CALL_TIMEOUT_MS = 1000;

/** An in-memory network with delays, dropped messages, one-way cuts and paused processes. */
export class SimNetwork {
  readonly clock = new ManualClock();

  readonly processes = new Map<string, SimProcess>();

  /** Directed pairs, written 'from to', that lose all messages. */
  readonly cuts = new Set<string>();

  dropRate = 0;

  longestDelay = 5;

  constructor(readonly random: Random) {}

  cut(from: string, to: string): void {
    this.cuts.add(`${from} ${to}`);
  }

  /** Runs `action` at `to` after a random delay, unless the message is lost. */
  send(from: string, to: string, action: (receiver: SimProcess) => void): void {
    const lost = this.cuts.has(`${from} ${to}`) || this.random.next() < this.dropRate;
    if (lost) return;
    const receiver = this.processes.get(to);
    const at = this.clock.now() + 1 + this.random.integer(this.longestDelay);
    this.clock.setTimer(at, () => receiver?.perform(() => action(receiver)));
  }

  call(
    caller: SimProcess,
    to: string,
    perform: (receiver: SimProcess) => unknown,
  ): Promise<Result<unknown, PeerError>> {
    return new Promise((resolve) => {
      const onTimeout = () => resolve(Err({ kind: 'deadline', detail: `${to} did not answer` }));
      const timer = caller.setTimer(caller.now() + CALL_TIMEOUT_MS, onTimeout);
      const answer = (value: unknown) =>
        this.send(to, caller.hostId, () => {
          timer.cancel();
          if (this.processes.get(caller.hostId) === caller) resolve(Ok(value));
        });
      this.send(caller.hostId, to, (receiver) => {
        Promise.resolve(perform(receiver)).then(answer, () => {});
      });
    });
  }

  transport(process: SimProcess): PeerTransport {
    const repeatHeartbeat = (sendHeartbeat: () => void) => {
      sendHeartbeat();
      process.setTimer(process.now() + HEARTBEAT_INTERVAL_MS, () => repeatHeartbeat(sendHeartbeat));
    };
    return {
      setPeers: (peers: readonly PeerAddress[]) => {
        process.peers = peers.map((peer) => peer.hostId);
      },
      startHeartbeats: (
        status: () => HeartbeatStatus,
        onHeartbeat: (heartbeat: ReceivedHeartbeat) => void,
      ) => {
        repeatHeartbeat(() => this.sendHeartbeat(process, status, onHeartbeat));
      },
      call: <Method extends PeerMethod>(
        to: string,
        method: Method,
        request: PeerMethods[Method]['request'],
      ) =>
        this.call(process, to, (receiver) =>
          receiver.handlers.get(method)!(request as never),
        ) as Promise<Result<PeerMethods[Method]['reply'], PeerError>>,
      fetchSheet: () => Promise.resolve(Err({ kind: 'failed', detail: 'not simulated' })),
      handle: (method, handler) => process.handlers.set(method, handler),
      handleFetchSheet: () => {},
    };
  }

  /** Uses one link for each pair of incarnations, as with a new stream. */
  private sendHeartbeat(
    process: SimProcess,
    status: () => HeartbeatStatus,
    onHeartbeat: (heartbeat: ReceivedHeartbeat) => void,
  ): void {
    const { hostId, incarnation } = process;
    for (const peer of process.peers) {
      const receiver = this.processes.get(peer);
      if (receiver === undefined) continue;
      let link = process.links.get(receiver.incarnation);
      if (link === undefined) {
        link = new HeartbeatSession(
          { hostId, incarnation, clock: process, status, onHeartbeat },
          (heartbeat) =>
            this.send(hostId, peer, (current) => {
              // Real links name the sender in the first heartbeat only; here any may be lost.
              const named = { ...heartbeat, hostId, incarnation };
              if (current === receiver) receiver.links.get(incarnation)?.receiveHeartbeat(named);
            }),
        );
        process.links.set(receiver.incarnation, link);
      }
      link.sendHeartbeat();
    }
  }
}
