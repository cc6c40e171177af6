import {
  type CallOptions,
  type ClientDuplexStream,
  credentials,
  type Metadata,
  status,
} from '@grpc/grpc-js';
import { Err, Ok, type Result } from 'ts-results';

import { type Random, waitUntil } from '../runtime';

import { type HeartbeatContext, HeartbeatSession } from './heartbeatSession';
import {
  type FetchSheetRequest,
  type Heartbeat,
  PeerClient,
  type SheetChunk,
} from './generated/peer';
import { type PeerAddress } from './peerAddress';
import { type PeerError } from './peerError';
import { type PeerMethod, type PeerMethods } from './peerMethods';

const CALL_TIMEOUT_MS = 1000;
const FETCH_TIMEOUT_MS = 5000;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2000;
// TCP keeps a connection open for minutes after the network path is lost; this detects it earlier.
const SILENCE_TIMEOUT_MS = 3000;
// Keep-alive pings are off: heartbeats already show whether the connection works.
const CHANNEL_OPTIONS = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.initial_reconnect_backoff_ms': MIN_BACKOFF_MS,
  'grpc.max_reconnect_backoff_ms': MAX_BACKOFF_MS,
  'grpc.service_config_disable_resolution': 1,
};

type UnaryCall = (
  request: unknown,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: { code: number; details: string } | null, reply: unknown) => void,
) => void;

function toPeerError(error: { code?: number; details?: string }): PeerError {
  const detail = error.details ?? String(error);
  if (error.code === status.DEADLINE_EXCEEDED) return { kind: 'deadline', detail };
  if (error.code === status.UNAVAILABLE) return { kind: 'unreachable', detail };
  if (error.code === status.UNAUTHENTICATED) return { kind: 'refused', detail };
  return { kind: 'failed', detail };
}

function deadlineAfter(milliseconds: number): Partial<CallOptions> {
  return { deadline: new Date(new Date().getTime() + milliseconds) };
}

/** Client for one peer: unary calls, and the heartbeat stream if this host is its opener. */
export class PeerConnection {
  private client: PeerClient;

  private readonly abortController = new AbortController();

  private stream: ClientDuplexStream<Heartbeat, Heartbeat> | null = null;

  private session: HeartbeatSession | null = null;

  constructor(
    readonly peer: PeerAddress,
    private readonly metadata: Metadata,
    private readonly random: Random,
  ) {
    this.client = this.connect();
  }

  /** Calls a unary method once, with a deadline. */
  call<Method extends PeerMethod>(
    method: Method,
    request: PeerMethods[Method]['request'],
  ): Promise<Result<PeerMethods[Method]['reply'], PeerError>> {
    const unary = (this.client[method] as unknown as UnaryCall).bind(this.client);
    return new Promise((resolve) => {
      unary(request, this.metadata, deadlineAfter(CALL_TIMEOUT_MS), (error, reply) => {
        if (error === null) resolve(Ok(reply as PeerMethods[Method]['reply']));
        else resolve(Err(toPeerError(error)));
      });
    });
  }

  /** Fetches all chunks of a sheet. */
  async fetchSheet(request: FetchSheetRequest): Promise<Result<readonly SheetChunk[], PeerError>> {
    const chunks: SheetChunk[] = [];
    const options = deadlineAfter(FETCH_TIMEOUT_MS);
    try {
      const stream: AsyncIterable<SheetChunk> = this.client.fetchSheet(
        request,
        this.metadata,
        options,
      );
      for await (const chunk of stream) chunks.push(chunk);
      return Ok(chunks);
    } catch (error) {
      return Err(toPeerError(error as { code?: number; details?: string }));
    }
  }

  /** Sends the next heartbeat, or cancels a stream that has been silent for too long. */
  sendHeartbeat(now: number): void {
    if (this.session === null) return;
    if (now - this.session.lastReceivedAt > SILENCE_TIMEOUT_MS) this.stream?.cancel();
    else this.session.sendHeartbeat();
  }

  /** Keeps the heartbeat stream open, with backoff between attempts, until `close` is called. */
  async keepStreamOpen(
    context: HeartbeatContext,
    onStateChange: (isOpen: boolean) => void,
  ): Promise<void> {
    let failures = 0;
    while (!this.abortController.signal.aborted) {
      const openedAt = context.clock.now();
      const hasPeerAnswered = await this.runStream(context, onStateChange);
      failures = hasPeerAnswered ? 0 : failures + 1;
      if (context.clock.now() - openedAt > SILENCE_TIMEOUT_MS) this.reconnect();
      const backoff = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
      const pause = backoff * (0.5 + this.random.next() / 2);
      await waitUntil(context.clock, context.clock.now() + pause, this.abortController.signal);
    }
  }

  close(): void {
    this.abortController.abort();
    this.stream?.cancel();
    this.client.close();
  }

  /** Runs one stream until it ends; resolves to true when the peer sent a heartbeat. */
  private runStream(
    context: HeartbeatContext,
    onStateChange: (isOpen: boolean) => void,
  ): Promise<boolean> {
    const stream = this.client.beats(this.metadata);
    const session = new HeartbeatSession(context, (heartbeat) => stream.write(heartbeat));
    this.stream = stream;
    this.session = session;
    session.sendHeartbeat();
    return new Promise((resolve) => {
      stream.on('data', (heartbeat: Heartbeat) => {
        const isFirst = session.peerId === '';
        session.receiveHeartbeat(heartbeat);
        if (isFirst) onStateChange(true);
      });
      stream.once('end', () => stream.end());
      stream.on('error', () => {});
      stream.once('status', () => {
        this.session = null;
        if (session.peerId !== '') onStateChange(false);
        resolve(session.peerId !== '');
      });
    });
  }

  private reconnect(): void {
    if (this.abortController.signal.aborted) return;
    this.client.close();
    this.client = this.connect();
  }

  private connect(): PeerClient {
    return new PeerClient(this.peer.address, credentials.createInsecure(), CHANNEL_OPTIONS);
  }
}
