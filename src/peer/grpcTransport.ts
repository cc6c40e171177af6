import { type Metadata, type ServerDuplexStream } from '@grpc/grpc-js';
import { Err, type Result } from 'ts-results';

import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { type Clock, type Random, type Timer } from '../runtime';

import { createAuthenticationMetadata } from './authentication';
import { type ReceivedHeartbeat, type HeartbeatStatus } from './receivedHeartbeat';
import { type HeartbeatContext, HeartbeatSession } from './heartbeatSession';
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

/** Interval of heartbeats to the same peer, which answers each one with its own. */
export const HEARTBEAT_INTERVAL_MS = 500;

/** Dependencies of `GrpcTransport`. */
export interface GrpcTransportParts {
  readonly hostId: string;
  /** Changes each time the host starts. */
  readonly incarnation: string;
  readonly secret: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly metrics: MetricsSink;
}

/** Transports control messages over gRPC, with one server and one connection per peer. */
export class GrpcTransport implements PeerTransport {
  private readonly server: PeerServer;

  private readonly metadata: Metadata;

  private readonly connections = new Map<string, PeerConnection>();

  private readonly acceptedSessions = new Set<HeartbeatSession>();

  private heartbeatContext: HeartbeatContext | null = null;

  private heartbeatTimer: Timer | null = null;

  private isClosed = false;

  constructor(private readonly parts: GrpcTransportParts) {
    this.metadata = createAuthenticationMetadata(parts.secret);
    this.server = new PeerServer(parts.secret, parts.events, parts.metrics, (stream) =>
      this.acceptStream(stream),
    );
  }

  /** Starts the server and returns its port. */
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
    // The fleet can change while the host shuts down; a connection opened after `close` would
    // never be closed, and its calls would keep the process alive.
    if (this.isClosed) return;
    const peersById = new Map(peers.map((peer) => [peer.hostId, peer]));
    for (const [hostId, connection] of this.connections) {
      if (peersById.get(hostId)?.address === connection.peer.address) continue;
      connection.close();
      this.connections.delete(hostId);
    }
    for (const peer of peersById.values()) {
      if (peer.hostId === this.parts.hostId || this.connections.has(peer.hostId)) continue;
      const connection = new PeerConnection(peer, this.metadata, this.parts.random);
      this.connections.set(peer.hostId, connection);
      this.openStream(connection);
    }
  }

  startHeartbeats(
    status: () => HeartbeatStatus,
    onHeartbeat: (heartbeat: ReceivedHeartbeat) => void,
  ): void {
    const { hostId, incarnation, clock } = this.parts;
    this.heartbeatContext = { hostId, incarnation, clock, status, onHeartbeat };
    for (const connection of this.connections.values()) this.openStream(connection);
    this.sendHeartbeats();
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
    this.isClosed = true;
    this.heartbeatTimer?.cancel();
    for (const connection of this.connections.values()) connection.close();
    this.connections.clear();
    this.server.close();
  }

  private sendHeartbeats(): void {
    if (this.isClosed) return;
    const now = this.parts.clock.now();
    for (const connection of this.connections.values()) connection.sendHeartbeat(now);
    this.heartbeatTimer = this.parts.clock.setTimer(now + HEARTBEAT_INTERVAL_MS, () =>
      this.sendHeartbeats(),
    );
  }

  private openStream(connection: PeerConnection): void {
    const { hostId } = connection.peer;
    if (this.heartbeatContext === null || this.parts.hostId > hostId) return;
    void connection.keepStreamOpen(this.heartbeatContext, (isOpen) =>
      this.logStreamState(hostId, isOpen),
    );
  }

  private acceptStream(stream: ServerDuplexStream<Heartbeat, Heartbeat>): void {
    if (this.heartbeatContext === null) {
      stream.end();
      return;
    }
    const session = new HeartbeatSession(this.heartbeatContext, (heartbeat) =>
      stream.write(heartbeat),
    );
    stream.on('data', (heartbeat: Heartbeat) => {
      const isFirst = session.peerId === '';
      session.receiveHeartbeat(heartbeat);
      if (isFirst && session.peerId !== '') this.addSession(session);
      // An immediate answer carries the TCP acknowledgement and a fresh echo.
      if (this.acceptedSessions.has(session)) session.sendHeartbeat();
    });
    const end = () => {
      if (!this.acceptedSessions.delete(session)) return;
      this.logStreamState(session.peerId, false);
      stream.end();
    };
    for (const event of ['end', 'cancelled', 'close', 'error']) stream.on(event, end);
  }

  /** Adds the session of a peer; it replaces the session of a stream that the peer abandoned. */
  private addSession(session: HeartbeatSession): void {
    for (const other of this.acceptedSessions) {
      if (other.peerId === session.peerId) this.acceptedSessions.delete(other);
    }
    this.acceptedSessions.add(session);
    this.logStreamState(session.peerId, true);
  }

  private logStreamState(peer: string, isOpen: boolean): void {
    this.parts.events.emit(isOpen ? PEER_EVENTS.peerConnected : PEER_EVENTS.peerDisconnected, {
      peer,
    });
  }
}
