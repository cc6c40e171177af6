import { type PeerTransport, type ReleaseRequest } from '../peer';

import { type Ballot } from './ballot';
import { type FleetRecord } from './fleetRecord';
import { type RecordState, type Vote } from './vote';
import { stateFromWire, toWire, voteFromWire } from './wire';

/** Typed requests to other hosts; null means that the host did not answer. */
export class FleetPeers {
  constructor(private readonly transport: PeerTransport) {}

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

  async readRecord(hostId: string): Promise<RecordState | null> {
    const reply = await this.transport.call(hostId, 'readRecord', {});
    return reply.ok ? stateFromWire(reply.val) : null;
  }

  /** True when the host confirmed the release. */
  async release(hostId: string, release: ReleaseRequest): Promise<boolean> {
    const reply = await this.transport.call(hostId, 'release', release);
    return reply.ok;
  }
}
