import {
  type handleUnaryCall,
  type Metadata,
  Server,
  ServerCredentials,
  type ServerDuplexStream,
  type ServerWritableStream,
  status,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { Err, Ok, type Result } from 'ts-results';

import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';

import { refusalReason } from './authentication';
import { PEER_EVENTS } from './events';
import {
  type FetchSheetRequest,
  type Heartbeat,
  PeerService,
  type SheetChunk,
} from './generated/peer';
import { PEER_METRICS } from './metrics';
import { type PeerHandler, type PeerMethod, type SheetHandler } from './peerMethods';

type HeartbeatStream = ServerDuplexStream<Heartbeat, Heartbeat>;

const UNARY_METHODS: readonly PeerMethod[] = [
  'prepare',
  'accept',
  'commit',
  'readRecord',
  'release',
  'claimKey',
  'settleKey',
  'reportClaims',
  'reportDeath',
];

/** Serves control calls of authenticated peers. */
export class PeerServer {
  private server: Server;

  private readonly handlers = new Map<PeerMethod, (request: never) => unknown>();

  private sheetHandler: SheetHandler | null = null;

  constructor(
    private readonly secret: string,
    private readonly events: EventLog,
    private readonly metrics: MetricsSink,
    private readonly onHeartbeatStream: (stream: HeartbeatStream) => void,
  ) {
    this.server = this.createServer();
  }

  /** Registers the handler of `method`; it replaces an earlier one. */
  handle<Method extends PeerMethod>(method: Method, handler: PeerHandler<Method>): void {
    this.handlers.set(method, handler);
  }

  handleFetchSheet(handler: SheetHandler): void {
    this.sheetHandler = handler;
  }

  /** Starts listening and returns the port. After an error it can be called again. */
  listen(address: string, port: number): Promise<Result<number, string>> {
    const host = address.includes(':') ? `[${address}]` : address;
    return new Promise((resolve) => {
      this.server.bindAsync(
        `${host}:${port}`,
        ServerCredentials.createInsecure(),
        (error, boundPort) => {
          if (error === null) {
            resolve(Ok(boundPort));
            return;
          }
          // A server of grpc-js repeats the first error for the same port.
          this.server.forceShutdown();
          this.server = this.createServer();
          resolve(Err(error.message));
        },
      );
    });
  }

  close(): void {
    this.server.forceShutdown();
  }

  private createServer(): Server {
    const unary = UNARY_METHODS.map((method) => [method, this.createUnaryHandler(method)] as const);
    const implementation: UntypedServiceImplementation = {
      ...Object.fromEntries(unary),
      beats: (stream: HeartbeatStream) => this.handleHeartbeatStream(stream),
      fetchSheet: (stream: ServerWritableStream<FetchSheetRequest, SheetChunk>) => {
        void this.streamSheet(stream);
      },
    };
    const server = new Server();
    server.addService(PeerService, implementation);
    return server;
  }

  private checkAuthentication(metadata: Metadata, peer: string): string | null {
    const refusal = refusalReason(metadata, this.secret);
    if (refusal === null) return null;
    this.metrics.increment(PEER_METRICS.refused);
    this.events.emit(PEER_EVENTS.callRefused, { peer, reason: refusal });
    return refusal;
  }

  private createUnaryHandler(method: PeerMethod): handleUnaryCall<never, unknown> {
    return async (call, reply) => {
      const refusal = this.checkAuthentication(call.metadata, call.getPeer());
      const handler = this.handlers.get(method);
      if (refusal !== null) {
        reply({ code: status.UNAUTHENTICATED, details: refusal });
      } else if (handler === undefined) {
        reply({ code: status.UNIMPLEMENTED, details: `${method} has no handler` });
      } else {
        try {
          reply(null, await handler(call.request));
        } catch (error) {
          this.events.emit(PEER_EVENTS.handlerFailed, { method, error: String(error) });
          reply({ code: status.INTERNAL, details: 'the handler failed' });
        }
      }
    };
  }

  private handleHeartbeatStream(stream: HeartbeatStream): void {
    const refusal = this.checkAuthentication(stream.metadata, stream.getPeer());
    if (refusal === null) this.onHeartbeatStream(stream);
    else stream.emit('error', { code: status.UNAUTHENTICATED, details: refusal });
  }

  private async streamSheet(
    stream: ServerWritableStream<FetchSheetRequest, SheetChunk>,
  ): Promise<void> {
    const refusal = this.checkAuthentication(stream.metadata, stream.getPeer());
    if (refusal !== null || this.sheetHandler === null) {
      const code = refusal === null ? status.UNIMPLEMENTED : status.UNAUTHENTICATED;
      stream.emit('error', { code, details: refusal ?? 'fetchSheet has no handler' });
      return;
    }
    try {
      for await (const chunk of this.sheetHandler(stream.request)) {
        if (stream.cancelled) return;
        stream.write(chunk);
      }
      stream.end();
    } catch (error) {
      this.events.emit(PEER_EVENTS.handlerFailed, { method: 'fetchSheet', error: String(error) });
      stream.emit('error', { code: status.INTERNAL, details: 'the handler failed' });
    }
  }
}
