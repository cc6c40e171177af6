import { type Result } from 'ts-results';

import { type ReceivedHeartbeat, type HeartbeatStatus } from './receivedHeartbeat';
import { type FetchSheetRequest, type SheetChunk } from './generated/peer';
import { type PeerAddress } from './peerAddress';
import { type PeerError } from './peerError';
import {
  type PeerHandler,
  type PeerMethod,
  type PeerMethods,
  type SheetHandler,
} from './peerMethods';

/** Transports messages between this host and its peers; tests use an in-memory implementation. */
export interface PeerTransport {
  /** Sets the hosts to exchange heartbeats with; connections to all others are closed. */
  setPeers(peers: readonly PeerAddress[]): void;
  /** Starts heartbeats that carry the result of `status`; `listener` gets each received one. */
  startHeartbeats(
    status: () => HeartbeatStatus,
    onHeartbeat: (heartbeat: ReceivedHeartbeat) => void,
  ): void;
  /** Calls a unary method of a host that was set with `setPeers`. */
  call<Method extends PeerMethod>(
    hostId: string,
    method: Method,
    request: PeerMethods[Method]['request'],
  ): Promise<Result<PeerMethods[Method]['reply'], PeerError>>;
  /** Fetches all chunks of a sheet. */
  fetchSheet(
    hostId: string,
    request: FetchSheetRequest,
  ): Promise<Result<readonly SheetChunk[], PeerError>>;
  /** Registers the handler of a method; a method without one fails with UNIMPLEMENTED. */
  handle<Method extends PeerMethod>(method: Method, handler: PeerHandler<Method>): void;
  /** Registers the handler of sheet requests. */
  handleFetchSheet(handler: SheetHandler): void;
}
