import { type PeerTransport, type ReleaseRequest } from '../peer';

import { type Ballot } from './ballot';
import { type FleetRecord } from './fleetRecord';
import { type RecordState, type Vote } from './vote';
import { stateFromWire, toWire, voteFromWire } from './wire';

/**
 * RPC client of the consensus protocol. `prepare` and `accept` are the two phases of Paxos, `commit`
 * announces the chosen record. A call that fails, for instance because the host does not answer,
 * resolves with null, or with false for `release`; a promise is rejected only when a reply contains
 * an invalid record.
 */
export class FleetPeers {
  constructor(private readonly transport: PeerTransport) {}

  /**
   * Phase 1: asks for a promise. `silentHosts` are the members whose removal is proposed because they
   * are silent; a voter that had recent contact with one of them refuses.
   */
  async prepare(
    hostId: string,
    epoch: number,
    ballot: Ballot,
    silentHosts: readonly string[],
  ): Promise<Vote | null> {
    const reply = await this.transport.call(hostId, 'prepare', {
      epoch,
      ballot: { ...ballot },
      silentHosts: [...silentHosts],
    });
    return reply.ok ? voteFromWire(reply.val) : null;
  }

  /**
   * Phase 2: asks the host to accept a record. `promisedIncarnation` is the incarnation in which it
   * gave its promise; after a restart it refuses, since it has lost any higher promise.
   */
  async accept(
    hostId: string,
    record: FleetRecord,
    promisedIncarnation: string,
  ): Promise<Vote | null> {
    const reply = await this.transport.call(hostId, 'accept', {
      record: toWire(record),
      promisedIncarnation,
    });
    return reply.ok ? voteFromWire(reply.val) : null;
  }

  /** Resolves with the epoch that the host holds after the commit. */
  async commit(hostId: string, record: FleetRecord): Promise<number | null> {
    const reply = await this.transport.call(hostId, 'commit', { record: toWire(record) });
    return reply.ok ? reply.val.epoch : null;
  }

  /** Reads the committed and the accepted record of the host. */
  async readRecord(hostId: string): Promise<RecordState | null> {
    const reply = await this.transport.call(hostId, 'readRecord', {});
    return reply.ok ? stateFromWire(reply.val) : null;
  }

  /**
   * Hands over targets to their new owner, with the number of calls still in flight, their latest
   * deadline and the warm-up state; true when the new owner confirmed the release.
   */
  async release(hostId: string, release: ReleaseRequest): Promise<boolean> {
    const reply = await this.transport.call(hostId, 'release', release);
    return reply.ok;
  }
}
