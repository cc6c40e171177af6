import { connect, type Socket } from 'node:net';

import { type buildConnector, type Dispatcher } from 'undici';
import Client from 'undici/lib/dispatcher/client';

import { afterPendingInput, type Clock, type Timer } from '../runtime';

import { CarriedCalls } from './carriedCalls';
import { type ConnectionError, type ConnectionErrorKind } from './connectionError';
import { type ExchangeListener } from './exchangeListener';
import { guardSocket } from './guardSocket';
import { headFault } from './headFault';
import { type OutgoingRequest } from './outgoingRequest';
import { readInPortions } from './readInPortions';
import { StatusLineSearch } from './statusLineSearch';

// Connections open within a few milliseconds; a target that is down or partitioned never answers.
const CONNECT_TIMEOUT_MS = 150;
// A timer that fires more than this after its time shows that this process was held up, which says
// nothing about the target.
const MAX_TIMER_DELAY_MS = 60;
// Interim answers (1xx) before the answer itself; servers of the platform send none.
const MAX_INTERIM_ANSWERS = 10;
// Idle timeout of a connection when the target does not announce one.
const IDLE_TIMEOUT_MS = 4000;
// Connections are closed this long before the target's own idle timeout, so that no request is sent
// while the target closes the connection.
const IDLE_MARGIN_MS = 1500;
const MAX_IDLE_TIMEOUT_MS = 60_000;
// Errors that show a lack of this host: of descriptors, memory or local ports.
const OWN_LACK_CODES: ReadonlySet<string> = new Set([
  ...['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'EADDRNOTAVAIL'],
]);
// Error code with which undici reports that it closed an idle connection itself.
const LOCAL_CLOSE_CODE = 'UND_ERR_INFO';
const LENGTH_MISMATCH_CODE = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

/** Which side closed an idle connection. */
export type IdleCloseOrigin = 'own' | 'remote';

/** One connection to a target, with one request at a time. */
export class TargetConnection {
  /** Monotonic time at which the last request ended, initially the time of creation. */
  lastUsedAt: number;

  readonly carriedCalls = new CarriedCalls();

  private readonly client: Client;

  private socket: Socket | null = null;

  /** Kind of the failure of a request that was not sent. */
  private unsentKind: ConnectionErrorKind = 'notSent';

  private isClosed = false;

  private activeListener: ExchangeListener | null = null;

  private controller: Dispatcher.DispatchController | null = null;

  constructor(
    address: string,
    private readonly clock: Clock,
    private readonly onIdleClose: (connection: TargetConnection, origin: IdleCloseOrigin) => void,
  ) {
    this.lastUsedAt = clock.now();
    this.client = new Client(`http://${address}`, {
      connect: (options, callback) => this.openSocket(address, callback),
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.client.on('disconnect', (origin, targets, error) => {
      if (this.isClosed) return;
      this.isClosed = true;
      const { code } = error as Error & { code?: string };
      if (this.activeListener === null)
        this.onIdleClose(this, code === LOCAL_CLOSE_CODE ? 'own' : 'remote');
    });
  }

  /** Whether the connection can carry another request. */
  isOpen(): boolean {
    return !this.isClosed;
  }

  /** Whether the socket is already open, so that the next request need not connect. */
  isConnected(): boolean {
    return this.socket !== null && !this.isClosed;
  }

  /** Sends a request; only one may be in progress at a time. */
  send(request: OutgoingRequest, listener: ExchangeListener): void {
    this.activeListener = listener;
    const { method, path, headers, body } = request;
    let isStarted = false;
    let withdrawal: string | null = null;
    let isFramed = true;
    let interimAnswers = 0;
    let isNotModified = false;
    const search = new StatusLineSearch();
    const fail = (kind: ConnectionErrorKind, message: string) =>
      this.failRequest({ kind: isStarted ? kind : this.unsentKind, message });
    try {
      this.client.dispatch(
        { method, path, headers: [...headers], body },
        {
          onRequestStart: (controller) => {
            withdrawal = listener.withdrawal();
            // undici then drops the request, and keeps the connection.
            if (withdrawal !== null) throw new Error(withdrawal);
            this.controller = controller;
            isStarted = true;
            listener.onSent();
          },
          onResponseStart: (controller, status, answerHeaders, statusText) => {
            const fault = headFault(status, answerHeaders, statusText ?? '');
            if (fault !== null) {
              if (this.activeListener === listener) fail('garbled', fault);
              return;
            }
            if (status < 200) {
              interimAnswers += 1;
              const isTooMany = interimAnswers > MAX_INTERIM_ANSWERS;
              if (isTooMany && this.activeListener === listener)
                fail('garbled', 'too many interim answers');
              return;
            }
            isNotModified = status === 304;
            isFramed =
              answerHeaders['content-length'] !== undefined ||
              answerHeaders['transfer-encoding'] !== undefined ||
              method === 'HEAD' ||
              status === 204 ||
              status === 304;
            if (this.activeListener === listener) listener.onHead(status, answerHeaders, isFramed);
          },
          onResponseData: (controller, chunk) => {
            search.add(chunk);
            if (this.activeListener === listener && !listener.onData(chunk)) controller.pause();
          },
          onResponseEnd: () => {
            const end = () => {
              if (this.activeListener !== listener) return;
              if (search.mayContain() && this.hasSurplus()) fail('garbled', 'body of two answers');
              else this.endRequest(listener, isFramed);
            };
            // By then undici has parsed the bytes that were received with the end of the answer.
            if (search.mayContain()) queueMicrotask(end);
            else end();
          },
          onResponseError: (controller, error) => {
            if (this.activeListener !== listener) return;
            if (withdrawal !== null) {
              this.withdrawRequest(listener, withdrawal);
              return;
            }
            const { code } = error as Error & { code?: string };
            // undici expects the body of which a 304 states the length; it has closed the connection.
            if (isNotModified && code === LENGTH_MISMATCH_CODE) {
              this.isClosed = true;
              this.endRequest(listener, true);
              return;
            }
            const isGarbled = code?.startsWith('HPE_') === true || code === LENGTH_MISMATCH_CODE;
            fail(isGarbled ? 'garbled' : 'broken', error.message);
          },
        },
      );
    } catch (error) {
      // undici throws for invalid headers and paths.
      fail('notSent', (error as Error).message);
    }
  }

  /** Resumes an answer that was paused. */
  resume(): void {
    this.controller?.resume();
  }

  /** Closes the connection; a request in progress ends as `aborted`. */
  close(): void {
    this.isClosed = true;
    const listener = this.activeListener;
    this.activeListener = null;
    this.client.destroy().catch(() => {});
    listener?.onError({ kind: 'aborted', message: 'given up by this host' });
  }

  // Bytes behind a complete answer belong to none, and do not make it incomplete.
  private hasSurplus(): boolean {
    const error: NodeJS.ErrnoException | null | undefined = this.socket?.errored;
    return error !== null && error !== undefined && error.code !== LOCAL_CLOSE_CODE;
  }

  private endRequest(listener: ExchangeListener, isFramed: boolean): void {
    this.activeListener = null;
    this.lastUsedAt = this.clock.now();
    listener.onEnd(isFramed);
  }

  private withdrawRequest(listener: ExchangeListener, message: string): void {
    this.activeListener = null;
    this.lastUsedAt = this.clock.now();
    listener.onError({ kind: 'withdrawn', message });
  }

  private failRequest(error: ConnectionError): void {
    const listener = this.activeListener;
    this.activeListener = null;
    this.isClosed = true;
    this.client.destroy().catch(() => {});
    listener?.onError(error);
  }

  private openSocket(address: string, callback: buildConnector.Callback): void {
    const separator = address.lastIndexOf(':');
    const socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
      noDelay: true,
    });
    const timeout = this.limitConnectTime(socket);
    const onError = (error: NodeJS.ErrnoException) => {
      timeout.cancel();
      if (OWN_LACK_CODES.has(error.code ?? '')) this.unsentKind = 'noSocket';
      callback(error, null);
    };
    socket.once('error', onError);
    socket.once('connect', () => {
      timeout.cancel();
      socket.off('error', onError);
      readInPortions(socket);
      guardSocket(socket);
      if (this.socket !== null || this.isClosed) {
        // A request is never sent again on a second connection, since the target may already have run
        // it on the first one.
        socket.destroy();
        callback(new Error('connection was closed'), null);
        return;
      }
      this.socket = socket;
      // An answer that has already arrived may say that the target wants no calls.
      afterPendingInput(() => {
        if (socket.destroyed) callback(new Error('connection was closed'), null);
        else callback(null, socket);
      });
    });
  }

  private limitConnectTime(socket: Socket): Timer {
    const dueAt = this.clock.now() + CONNECT_TIMEOUT_MS;
    let timer = this.clock.setTimer(dueAt, () => {
      const isLate = this.clock.now() > dueAt + MAX_TIMER_DELAY_MS;
      afterPendingInput(() => {
        if (!socket.connecting) return;
        if (isLate) timer = this.limitConnectTime(socket);
        else socket.destroy(new Error('connection not opened in time'));
      });
    });
    return { cancel: () => timer.cancel() };
  }
}
