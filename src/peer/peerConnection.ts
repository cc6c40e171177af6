import {
  type CallOptions,
  type ClientDuplexStream,
  credentials,
  type Metadata,
  status,
} from '@grpc/grpc-js';
import { Err, Ok, type Result } from 'ts-results';

import { type Random, waitUntil } from '../runtime';

import { type BeatContext, BeatLink } from './beatLink';
import {
  type FetchSheetRequest,
  type Heartbeat,
  PeerClient,
  type SheetChunk,
} from './generated/peer';
import { type PeerAddress } from './peerAddress';
import { type PeerError } from './peerError';
import { type PeerMethod, type PeerMethods } from './peerMethods';

const CALL_LIMIT_MS = 1000;
const FETCH_LIMIT_MS = 5000;
const SHORTEST_BACKOFF_MS = 100;
const LONGEST_BACKOFF_MS = 2000;
// A connection that lost its path stays open in TCP for minutes; silence ends it earlier.
const SILENCE_LIMIT_MS = 3000;
// No keep-alive pings: heartbeats already show whether the connection works.
const CHANNEL_OPTIONS = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.initial_reconnect_backoff_ms': SHORTEST_BACKOFF_MS,
  'grpc.max_reconnect_backoff_ms': LONGEST_BACKOFF_MS,
  'grpc.service_config_disable_resolution': 1,
};

type UnaryCall = (
  request: unknown,
  metadata: Metadata,
  options: Partial<CallOptions>,
  done: (error: { code: number; details: string } | null, reply: unknown) => void,
) => void;

function translate(error: { code?: number; details?: string }): PeerError {
  const detail = error.details ?? String(error);
  if (error.code === status.DEADLINE_EXCEEDED) return { kind: 'deadline', detail };
  if (error.code === status.UNAVAILABLE) return { kind: 'unreachable', detail };
  if (error.code === status.UNAUTHENTICATED) return { kind: 'refused', detail };
  return { kind: 'failed', detail };
}

function inMilliseconds(milliseconds: number): Partial<CallOptions> {
  return { deadline: new Date(new Date().getTime() + milliseconds) };
}

/** The client side of one peer: unary calls, and the heartbeat stream when this host opens it. */
export class PeerConnection {
  private client: PeerClient;

  private readonly stopped = new AbortController();

  private stream: ClientDuplexStream<Heartbeat, Heartbeat> | null = null;

  private link: BeatLink | null = null;

  constructor(
    readonly peer: PeerAddress,
    private readonly metadata: Metadata,
    private readonly random: Random,
  ) {
    this.client = this.connect();
  }

  /** One attempt at a unary method, with a deadline. */
  call<Method extends PeerMethod>(
    method: Method,
    request: PeerMethods[Method]['request'],
  ): Promise<Result<PeerMethods[Method]['reply'], PeerError>> {
    const unary = (this.client[method] as unknown as UnaryCall).bind(this.client);
    return new Promise((resolve) => {
      unary(request, this.metadata, inMilliseconds(CALL_LIMIT_MS), (error, reply) => {
        if (error === null) resolve(Ok(reply as PeerMethods[Method]['reply']));
        else resolve(Err(translate(error)));
      });
    });
  }

  /** Reads all chunks of a sheet. */
  async fetchSheet(request: FetchSheetRequest): Promise<Result<readonly SheetChunk[], PeerError>> {
    const chunks: SheetChunk[] = [];
    const options = inMilliseconds(FETCH_LIMIT_MS);
    try {
      const stream: AsyncIterable<SheetChunk> = this.client.fetchSheet(
        request,
        this.metadata,
        options,
      );
      for await (const chunk of stream) chunks.push(chunk);
      return Ok(chunks);
    } catch (error) {
      return Err(translate(error as { code?: number; details?: string }));
    }
  }

  /** Sends the next heartbeat, or ends a stream that has been silent for too long. */
  beat(now: number): void {
    if (this.link === null) return;
    if (now - this.link.lastReceivedAt > SILENCE_LIMIT_MS) this.stream?.cancel();
    else this.link.beat();
  }

  /** Keeps the heartbeat stream open until the connection is closed. */
  async keepStream(context: BeatContext, onState: (open: boolean) => void): Promise<void> {
    let failures = 0;
    while (!this.stopped.signal.aborted) {
      const openedAt = context.clock.now();
      const alive = await this.runStream(context, onState);
      failures = alive ? 0 : failures + 1;
      if (context.clock.now() - openedAt > SILENCE_LIMIT_MS) this.reconnect();
      const backoff = Math.min(LONGEST_BACKOFF_MS, SHORTEST_BACKOFF_MS * 2 ** failures);
      const pause = backoff * (0.5 + this.random.next() / 2);
      await waitUntil(context.clock, context.clock.now() + pause, this.stopped.signal);
    }
  }

  close(): void {
    this.stopped.abort();
    this.stream?.cancel();
    this.client.close();
  }

  /** Runs one stream to its end; resolves with true when the peer sent anything. */
  private runStream(context: BeatContext, onState: (open: boolean) => void): Promise<boolean> {
    const stream = this.client.beats(this.metadata);
    const link = new BeatLink(context, (heartbeat) => stream.write(heartbeat));
    this.stream = stream;
    this.link = link;
    link.beat();
    return new Promise((resolve) => {
      stream.on('data', (heartbeat: Heartbeat) => {
        const first = link.peerId === '';
        link.accept(heartbeat);
        if (first) onState(true);
      });
      stream.once('end', () => stream.end());
      stream.on('error', () => {});
      stream.once('status', () => {
        this.link = null;
        if (link.peerId !== '') onState(false);
        resolve(link.peerId !== '');
      });
    });
  }

  private reconnect(): void {
    if (this.stopped.signal.aborted) return;
    this.client.close();
    this.client = this.connect();
  }

  private connect(): PeerClient {
    return new PeerClient(this.peer.address, credentials.createInsecure(), CHANNEL_OPTIONS);
  }
}
