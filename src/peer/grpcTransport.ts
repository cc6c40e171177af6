import { type Metadata, type ServerDuplexStream } from '@grpc/grpc-js';
import { Err, type Result } from 'ts-results';

import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { type Clock, type Random, type Timer } from '../runtime';

import { credentialsOf } from './authentication';
import { type Beat, type BeatStatus } from './beat';
import { type BeatContext, BeatLink } from './beatLink';
import { PEER_EVENTS } from './events';
import { type FetchSheetRequest, type Heartbeat, type SheetChunk } from './generated/peer';
import { type PeerAddress } from './peerAddress';
import { PeerConnection } from './peerConnection';
import { type PeerError } from './peerError';
import {
  type PeerHandler,
  type PeerMethod,
  type PeerMethods,
  type SheetHandler,
} from './peerMethods';
import { PeerServer } from './peerServer';
import { type PeerTransport } from './peerTransport';

/** Time between two heartbeats to the same peer, which answers each one with its own. */
export const BEAT_INTERVAL_MS = 500;

/** What the transport of one host is made of. */
export interface GrpcTransportParts {
  readonly hostId: string;
  /** Differs after each start of the host. */
  readonly incarnation: string;
  readonly secret: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly metrics: MetricsSink;
}

/** Control messages over gRPC: one server, and one connection to each peer. */
export class GrpcTransport implements PeerTransport {
  private readonly server: PeerServer;

  private readonly metadata: Metadata;

  private readonly connections = new Map<string, PeerConnection>();

  private readonly accepted = new Set<BeatLink>();

  private beatContext: BeatContext | null = null;

  private timer: Timer | null = null;

  private closed = false;

  constructor(private readonly parts: GrpcTransportParts) {
    this.metadata = credentialsOf(parts.secret);
    this.server = new PeerServer(parts.secret, parts.events, parts.metrics, (stream) =>
      this.acceptStream(stream),
    );
  }

  /** Starts the server; returns its port. */
  listen(address: string, port: number): Promise<Result<number, string>> {
    return this.server.listen(address, port);
  }

  handle<Method extends PeerMethod>(method: Method, handler: PeerHandler<Method>): void {
    this.server.handle(method, handler);
  }

  handleFetchSheet(handler: SheetHandler): void {
    this.server.handleFetchSheet(handler);
  }

  setPeers(peers: readonly PeerAddress[]): void {
    // The last change of the fleet arrives while a stopping host closes; a connection that is opened then
    // is closed by nobody, and its calls keep the process.
    if (this.closed) return;
    const wanted = new Map(peers.map((peer) => [peer.hostId, peer]));
    for (const [hostId, connection] of this.connections) {
      if (wanted.get(hostId)?.address === connection.peer.address) continue;
      connection.close();
      this.connections.delete(hostId);
    }
    for (const peer of wanted.values()) {
      if (peer.hostId === this.parts.hostId || this.connections.has(peer.hostId)) continue;
      const connection = new PeerConnection(peer, this.metadata, this.parts.random);
      this.connections.set(peer.hostId, connection);
      this.openStream(connection);
    }
  }

  startBeats(status: () => BeatStatus, receive: (beat: Beat) => void): void {
    const { hostId, incarnation, clock } = this.parts;
    this.beatContext = { hostId, incarnation, clock, status, receive };
    for (const connection of this.connections.values()) this.openStream(connection);
    this.beat();
  }

  call<Method extends PeerMethod>(
    hostId: string,
    method: Method,
    request: PeerMethods[Method]['request'],
  ): Promise<Result<PeerMethods[Method]['reply'], PeerError>> {
    const connection = this.connections.get(hostId);
    if (connection !== undefined) return connection.call(method, request);
    return Promise.resolve(Err({ kind: 'unreachable', detail: `no address for ${hostId}` }));
  }

  fetchSheet(
    hostId: string,
    request: FetchSheetRequest,
  ): Promise<Result<readonly SheetChunk[], PeerError>> {
    const connection = this.connections.get(hostId);
    if (connection !== undefined) return connection.fetchSheet(request);
    return Promise.resolve(Err({ kind: 'unreachable', detail: `no address for ${hostId}` }));
  }

  close(): void {
    this.closed = true;
    this.timer?.cancel();
    for (const connection of this.connections.values()) connection.close();
    this.connections.clear();
    this.server.close();
  }

  private beat(): void {
    if (this.closed) return;
    const now = this.parts.clock.now();
    for (const connection of this.connections.values()) connection.beat(now);
    this.timer = this.parts.clock.setTimer(now + BEAT_INTERVAL_MS, () => this.beat());
  }

  private openStream(connection: PeerConnection): void {
    const { hostId } = connection.peer;
    if (this.beatContext === null || this.parts.hostId > hostId) return;
    void connection.keepStream(this.beatContext, (open) => this.logState(hostId, open));
  }

  private acceptStream(stream: ServerDuplexStream<Heartbeat, Heartbeat>): void {
    if (this.beatContext === null) {
      stream.end();
      return;
    }
    const link = new BeatLink(this.beatContext, (heartbeat) => stream.write(heartbeat));
    stream.on('data', (heartbeat: Heartbeat) => {
      const first = link.peerId === '';
      link.accept(heartbeat);
      if (first && link.peerId !== '') this.startLink(link);
      // Answering at once lets the answer carry the TCP acknowledgement and a fresh echo.
      if (this.accepted.has(link)) link.beat();
    });
    const end = () => {
      if (!this.accepted.delete(link)) return;
      this.logState(link.peerId, false);
      stream.end();
    };
    for (const event of ['end', 'cancelled', 'close', 'error']) stream.on(event, end);
  }

  /** A peer has one stream; a newer one replaces the one that it gave up. */
  private startLink(link: BeatLink): void {
    for (const other of this.accepted) {
      if (other.peerId === link.peerId) this.accepted.delete(other);
    }
    this.accepted.add(link);
    this.logState(link.peerId, true);
  }

  private logState(peer: string, open: boolean): void {
    this.parts.events.emit(open ? PEER_EVENTS.peerConnected : PEER_EVENTS.peerLost, { peer });
  }
}
