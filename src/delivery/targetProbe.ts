import { type Service, type Target } from '../catalog';
import { type TargetReport, type TargetSight } from '../knowledge';
import { type Clock } from '../runtime';

import { type CallProtocol } from './callProtocol';
import { TargetConnection } from './targetConnection';

// A probe takes a few milliseconds; one that has no answer by then says that the target is gone.
const PROBE_TIMEOUT_MS = 250;
// A timer this late says that this process stood still, and nothing about the target.
const LATE_TIMER_MS = 60;

/** Asks the probe path of one target over a connection of its own. */
export class TargetProbe {
  private connection: TargetConnection | null = null;

  constructor(
    private readonly target: Target,
    private readonly protocol: CallProtocol,
    private readonly clock: Clock,
    private readonly onOpened: () => void,
  ) {}

  /** One probe; null when it says nothing. */
  ask(service: Service): Promise<TargetReport | null> {
    const { clock, target } = this;
    const connection = this.take();
    const startedAt = clock.now();
    return new Promise((resolve) => {
      let report: TargetReport | null = null;
      const timeoutAt = startedAt + PROBE_TIMEOUT_MS;
      const timer = clock.setTimer(timeoutAt, () => {
        const isLate = clock.now() > timeoutAt + LATE_TIMER_MS;
        resolve(isLate ? null : this.bare('lost'));
        connection.close();
      });
      connection.send(
        { method: 'GET', path: service.probePath, headers: ['host', target.address], body: null },
        {
          onSent: () => {},
          onHead: (status, headers) => {
            const facts = this.protocol.readAnswer(headers);
            const isOther = facts.target !== null && facts.target !== target.id;
            const sight: TargetSight = status === 200 ? 'probe' : 'ill';
            report = {
              target: target.id,
              age: 0,
              running: facts.load?.running ?? null,
              waiting: facts.load?.waiting ?? null,
              pace: facts.load?.pace ?? null,
              sight: isOther ? 'lost' : sight,
              coldLeft: facts.coldLeft,
            };
          },
          onData: () => true,
          onEnd: () => {
            timer.cancel();
            resolve(report);
          },
          onError: (error) => {
            timer.cancel();
            resolve(error.kind === 'aborted' ? null : this.bare('lost'));
          },
        },
      );
    });
  }

  /** Closes the connection. */
  close(): void {
    this.connection?.close();
    this.connection = null;
  }

  private take(): TargetConnection {
    if (this.connection !== null && this.connection.isOpen()) return this.connection;
    this.onOpened();
    this.connection = new TargetConnection(this.target.address, this.clock, () => {});
    return this.connection;
  }

  private bare(sight: TargetSight): TargetReport {
    const { id } = this.target;
    return { target: id, age: 0, running: null, waiting: null, pace: null, sight, coldLeft: null };
  }
}
