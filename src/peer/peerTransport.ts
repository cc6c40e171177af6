import { type Result } from 'ts-results';

import { type Beat, type BeatStatus } from './beat';
import { type FetchSheetRequest, type SheetChunk } from './generated/peer';
import { type PeerAddress } from './peerAddress';
import { type PeerError } from './peerError';
import {
  type PeerHandler,
  type PeerMethod,
  type PeerMethods,
  type SheetHandler,
} from './peerMethods';

/** Messages between this host and its peers; tests pass an in-memory network. */
export interface PeerTransport {
  /** Keeps heartbeats with exactly these hosts. */
  setPeers(peers: readonly PeerAddress[]): void;
  /** Heartbeats carry the status that `status` returns; each arrived one goes to `listener`. */
  startBeats(status: () => BeatStatus, listener: (beat: Beat) => void): void;
  /** Calls a unary method of a host in the list of peers. */
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
  /** Answers a method; a method without a handler is refused as not implemented. */
  handle<Method extends PeerMethod>(method: Method, handler: PeerHandler<Method>): void;
  /** Answers sheet requests. */
  handleFetchSheet(handler: SheetHandler): void;
}
