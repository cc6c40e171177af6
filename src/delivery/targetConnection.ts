import { connect, type Socket } from 'node:net';

import { type buildConnector, type Dispatcher } from 'undici';
import Client from 'undici/lib/dispatcher/client';

import { type Clock } from '../runtime';

import { type ConnectionError, type ConnectionErrorKind } from './connectionError';
import { type ExchangeListener } from './exchangeListener';
import { type OutgoingRequest } from './outgoingRequest';

// A connection opens within a few milliseconds; a target that is off or cut off does not answer.
const CONNECT_TIMEOUT_MS = 150;
// Idle time after which a connection is closed when the target does not say its own.
const IDLE_TIMEOUT_MS = 4000;
// Closed this much before the target's own limit, so that no request crosses its close.
const IDLE_MARGIN_MS = 1500;
const LONGEST_IDLE_MS = 60_000;
// What undici reports when it closed an idle connection itself.
const OWN_CLOSE = 'UND_ERR_INFO';

/** Why a connection was closed while no request ran on it. */
export type IdleClose = 'own' | 'remote';

/**
 * One connection to a target, with one request at a time. undici passes an answer without a length
 * as whole when its connection is reset; this layer knows how the socket ended and does not.
 */
export class TargetConnection {
  /** Monotonic time at which the last request ended; also that of the creation. */
  usedAt: number;

  private readonly client: Client;

  private socket: Socket | null = null;

  private isBroken = false;

  private isDone = false;

  private running: ExchangeListener | null = null;

  private controller: Dispatcher.DispatchController | null = null;

  constructor(
    address: string,
    private readonly clock: Clock,
    private readonly onIdleClose: (connection: TargetConnection, close: IdleClose) => void,
  ) {
    this.usedAt = clock.now();
    this.client = new Client(`http://${address}`, {
      connect: (options, callback) => this.open(address, callback),
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: LONGEST_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('disconnect', (origin, targets, error) => {
      if (this.isDone) return;
      this.isDone = true;
      const { code } = error as Error & { code?: string };
      if (this.running === null) this.onIdleClose(this, code === OWN_CLOSE ? 'own' : 'remote');
    });
  }

  /** Whether it can take another request. */
  isOpen(): boolean {
    return !this.isDone;
  }

  /** Whether a connection was opened before, so that the next request needs no new one. */
  isConnected(): boolean {
    return this.socket !== null && !this.isDone;
  }

  /** Sends a request; only one may run at a time. */
  send(request: OutgoingRequest, listener: ExchangeListener): void {
    this.running = listener;
    const { method, path, headers, body } = request;
    let isStarted = false;
    let isFramed = true;
    const fail = (kind: ConnectionErrorKind, message: string) =>
      this.fail({ kind: isStarted ? kind : 'notSent', message });
    try {
      this.client.dispatch(
        { method, path, headers: [...headers], body },
        {
          onRequestStart: (controller) => {
            this.controller = controller;
            isStarted = true;
            listener.onSent();
          },
          onResponseStart: (controller, status, answerHeaders) => {
            if (status < 200) return;
            isFramed =
              answerHeaders['content-length'] !== undefined ||
              answerHeaders['transfer-encoding'] !== undefined ||
              method === 'HEAD' ||
              status === 204 ||
              status === 304;
            if (this.running === listener) listener.onHead(status, answerHeaders);
          },
          onResponseData: (controller, chunk) => {
            if (this.running === listener && !listener.onData(chunk)) controller.pause();
          },
          onResponseEnd: () => {
            if (this.running !== listener) return;
            if (!isFramed && this.isBroken) fail('broken', 'reset before the end');
            else this.end(listener, isFramed);
          },
          onResponseError: (controller, error) => {
            if (this.running !== listener) return;
            const { code } = error as Error & { code?: string };
            const isGarbled =
              code?.startsWith('HPE_') === true || code === 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';
            fail(isGarbled ? 'garbled' : 'broken', error.message);
          },
        },
      );
    } catch (error) {
      // undici refuses headers or paths that it would not send.
      fail('notSent', (error as Error).message);
    }
  }

  /** Continues an answer that was paused. */
  resume(): void {
    this.controller?.resume();
  }

  /** Closes the connection; a request that runs on it ends as aborted. */
  close(): void {
    this.isDone = true;
    const listener = this.running;
    this.running = null;
    this.client.destroy().catch(() => {});
    listener?.onError({ kind: 'aborted', message: 'given up by this host' });
  }

  private end(listener: ExchangeListener, isFramed: boolean): void {
    this.running = null;
    this.usedAt = this.clock.now();
    listener.onEnd(isFramed);
  }

  private fail(error: ConnectionError): void {
    const listener = this.running;
    this.running = null;
    this.isDone = true;
    this.client.destroy().catch(() => {});
    listener?.onError(error);
  }

  private open(address: string, callback: buildConnector.Callback): void {
    const separator = address.lastIndexOf(':');
    const socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      noDelay: true,
    });
    const timer = this.clock.setTimer(this.clock.now() + CONNECT_TIMEOUT_MS, () => {
      socket.destroy(new Error('connection not opened in time'));
    });
    const onError = (error: Error) => {
      timer.cancel();
      callback(error, null);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      timer.cancel();
      socket.off('error', onError);
      // Registered before undici's own listener, which passes on what it has as a whole answer.
      socket.on('error', () => {
        this.isBroken = true;
      });
      if (this.socket !== null || this.isDone) {
        // A request never moves to a second connection: what the first one ran is not known.
        socket.destroy();
        callback(new Error('connection was closed'), null);
        return;
      }
      this.socket = socket;
      callback(null, socket);
    });
  }
}
