import { type Service, type Target } from '../catalog';
import { type TargetReport, type ObservationKind } from '../knowledge';
import { afterPendingInput, type Clock, type Timer } from '../runtime';

import { type CallProtocol } from './callProtocol';
import { TargetConnection } from './targetConnection';

// A probe takes a few milliseconds; a target that has not answered after this timeout is reported as
// lost.
const PROBE_TIMEOUT_MS = 250;
// A timer that fires more than this after its time shows that this process was paused. The answer may
// have arrived in the meantime, so the probe gives no information about the target.
const MAX_TIMER_DELAY_MS = 60;

// The answer to a health check has hardly a body; a longer one may be without end.
const MAX_BODY_BYTES = 16 * 1024;

/** Sends health checks to the probe path of one target over a dedicated connection. */
export class TargetProbe {
  private connection: TargetConnection | null = null;

  constructor(
    private readonly target: Target,
    private readonly protocol: CallProtocol,
    private readonly clock: Clock,
    private readonly onOpened: () => void,
    /** Called when the target states that it is leaving. */
    private readonly onLeaving: () => void,
  ) {}

  /** Sends one probe; resolves to null when it gives no information about the target. */
  send(service: Service): Promise<TargetReport | null> {
    const { clock, target } = this;
    const connection = this.acquireConnection();
    return new Promise((resolve) => {
      let report: TargetReport | null = null;
      let hasEnded = false;
      let bodyBytes = 0;
      let silentSince = clock.now();
      let timer: Timer;
      const limitSilence = () => {
        const timeoutAt = silentSince + PROBE_TIMEOUT_MS;
        timer = clock.setTimer(timeoutAt, () => {
          const isLate = clock.now() > timeoutAt + MAX_TIMER_DELAY_MS;
          afterPendingInput(() => {
            if (hasEnded) return;
            if (silentSince + PROBE_TIMEOUT_MS > timeoutAt) {
              limitSilence();
              return;
            }
            resolve(isLate ? null : this.emptyReport('lost'));
            connection.close();
          });
        });
      };
      limitSilence();
      connection.send(
        { method: 'GET', path: service.probePath, headers: ['host', target.address], body: null },
        {
          withdrawal: () => null,
          onSent: () => {
            silentSince = clock.now();
          },
          onHead: (status, headers) => {
            const metadata = this.protocol.readAnswer(headers);
            // When another target answers at the address, the probed target is lost: it is no longer
            // reachable there.
            const isOtherTarget = metadata.target !== null && metadata.target !== target.id;
            if (metadata.isLeaving && !isOtherTarget) this.onLeaving();
            const observation: ObservationKind = status === 200 ? 'probe' : 'ill';
            report = {
              target: target.id,
              age: 0,
              running: metadata.load?.running ?? null,
              waiting: metadata.load?.waiting ?? null,
              pace: metadata.load?.pace ?? null,
              observation: isOtherTarget ? 'lost' : observation,
              coldLeft: metadata.coldLeft,
              // A health check without a limit does not show that calls have none.
              callLimit: metadata.callLimit === 'unreadable' ? null : metadata.callLimit,
            };
          },
          // The body is discarded; true keeps the answer flowing.
          onData: (chunk) => {
            bodyBytes += chunk.length;
            if (bodyBytes <= MAX_BODY_BYTES || hasEnded) return true;
            hasEnded = true;
            timer.cancel();
            resolve(this.emptyReport('lost'));
            connection.close();
            return false;
          },
          onEnd: () => {
            hasEnded = true;
            timer.cancel();
            resolve(report);
          },
          onError: (error) => {
            hasEnded = true;
            timer.cancel();
            const isOwnCause = error.kind === 'aborted' || error.kind === 'noSocket';
            resolve(isOwnCause ? null : this.emptyReport('lost'));
          },
        },
      );
    });
  }

  /** Closes the probe connection. */
  close(): void {
    this.connection?.close();
    this.connection = null;
  }

  private acquireConnection(): TargetConnection {
    if (this.connection !== null && this.connection.isOpen()) return this.connection;
    this.onOpened();
    this.connection = new TargetConnection(this.target.address, this.clock, () => {});
    return this.connection;
  }

  private emptyReport(observation: ObservationKind): TargetReport {
    const { id } = this.target;
    return {
      target: id,
      age: 0,
      running: null,
      waiting: null,
      pace: null,
      observation,
      coldLeft: null,
      callLimit: null,
    };
  }
}
