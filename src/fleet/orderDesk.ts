import { Err, Ok, type Result } from 'ts-results';
import { match } from 'ts-pattern';

import { type Changes } from './changes';
import { evaluateOrder } from './evaluateOrder';
import { FLEET_EVENTS } from './events';
import { type FleetRecord } from './fleetRecord';
import { type Acceptance, type Order, type Rejection } from './order';
import { type Replica } from './replica';
import { ORDER_LIMIT_MS } from './timing';

type Answer = Result<Acceptance, Rejection>;

interface Attempt {
  readonly order: Order;
  readonly basisEpoch: number;
  /** True once a voter may hold the order's record without a majority having confirmed it. */
  mayHold: boolean;
}

const KEPT_ANSWERS = 256;
const BACKOFF_MS = 60;

function reject(kind: Rejection['kind'], detail: string): Answer {
  return Err({ kind, detail });
}

/** Brings operators' orders to acceptance; a repeated order gets its first answer. */
export class OrderDesk {
  private readonly answers = new Map<string, Promise<Answer>>();

  constructor(
    private readonly replica: Replica,
    private readonly changes: Changes,
  ) {}

  submit(order: Order): Promise<Answer> {
    const known = this.answers.get(order.id);
    if (known !== undefined) return known;
    const answer = this.decide(order);
    this.answers.set(order.id, answer);
    if (this.answers.size > KEPT_ANSWERS) {
      this.answers.delete(this.answers.keys().next().value!);
    }
    void answer.then((result) => this.conclude(order, result));
    return answer;
  }

  /** Answers that a repeat may change are forgotten. */
  private conclude(order: Order, answer: Answer): void {
    const { events } = this.replica.parts;
    if (answer.ok) {
      events.emit(FLEET_EVENTS.orderAccepted, { ...answer.val });
      return;
    }
    events.emit(FLEET_EVENTS.orderRejected, { orderId: order.id, ...answer.val });
    const final = ['conflict', 'invalid', 'last-zone'].includes(answer.val.kind);
    if (!final) this.answers.delete(order.id);
  }

  private async decide(order: Order): Promise<Answer> {
    const { acceptor, history, parts } = this.replica;
    if (!acceptor.established || acceptor.committed === null) {
      return reject('not-ready', 'this host does not know the fleet record yet');
    }
    const made = history.madeBy(order.id);
    if (made !== undefined) return this.accepted(made, false);
    if (order.kind === 'load-sheet') parts.sheets.add(order.sheet);
    const attempt: Attempt = {
      order,
      basisEpoch: order.basisEpoch ?? acceptor.epoch,
      mayHold: false,
    };
    const until = parts.clock.now() + ORDER_LIMIT_MS;
    while (parts.clock.now() < until) {
      const answer = await this.changes.exclusively(() => this.attempt(attempt));
      if (answer !== null) return answer;
      await this.changes.backOff(BACKOFF_MS);
    }
    return attempt.mayHold
      ? reject('outcome-unknown', 'a minority holds the order; it may still be accepted')
      : reject('no-quorum', 'no majority of the voters answers');
  }

  /** One attempt; null when the order must be evaluated again. */
  private async attempt(attempt: Attempt): Promise<Answer | null> {
    const { order } = attempt;
    const { acceptor, history } = this.replica;
    const record = acceptor.committed!;
    const made = history.madeBy(order.id);
    if (made !== undefined) return this.accepted(made, false);
    const basis = { record, sheet: this.replica.sheet(), history, basisEpoch: attempt.basisEpoch };
    return match(evaluateOrder(order, basis))
      .with({ kind: 'unchanged' }, () => this.confirmUnchanged(record))
      .with({ kind: 'rejected' }, ({ rejection }) => Promise.resolve(Err(rejection)))
      .with({ kind: 'change' }, async ({ change, reason }) => {
        const result = await this.changes.change(change, order.id, reason);
        if (result.kind === 'no-quorum' && result.mayHold) attempt.mayHold = true;
        if (result.kind !== 'chosen' || result.record.orderId !== order.id) return null;
        if (result.confirmed) return this.accepted(result.record, false);
        return reject('outcome-unknown', 'accepted, but no majority confirmed the commit');
      })
      .exhaustive();
  }

  /** A stale host must not answer that nothing is to be done. */
  private confirmUnchanged(record: FleetRecord): Promise<Answer | null> {
    return Promise.resolve(this.replica.isCurrent() ? this.accepted(record, true) : null);
  }

  private accepted(record: FleetRecord, unchanged: boolean): Answer {
    return Ok({ orderId: record.orderId, epoch: record.epoch, unchanged });
  }
}
