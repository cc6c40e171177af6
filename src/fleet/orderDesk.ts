import { Err, Ok, type Result } from 'ts-results';
import { match } from 'ts-pattern';

import { type ProposalQueue } from './proposalQueue';
import { evaluateOrder } from './evaluateOrder';
import { FLEET_EVENTS } from './events';
import { type FleetRecord } from './fleetRecord';
import { type Acceptance, type Order, type Rejection } from './order';
import { type Replica } from './replica';
import { ORDER_TIMEOUT_MS } from './timing';

type OrderAnswer = Result<Acceptance, Rejection>;

interface OrderAttempt {
  readonly order: Order;
  readonly basisEpoch: number;
  /** True once some voter may have accepted the order's record without a majority confirming it. */
  mayBeAccepted: boolean;
}

const MAX_CACHED_ANSWERS = 256;
const BACKOFF_MS = 60;

function reject(kind: Rejection['kind'], detail: string): OrderAnswer {
  return Err({ kind, detail });
}

/** Processes operators' orders; a retry of an order receives the first answer. */
export class OrderProcessor {
  private readonly answers = new Map<string, Promise<OrderAnswer>>();

  constructor(
    private readonly replica: Replica,
    private readonly proposals: ProposalQueue,
  ) {}

  submit(order: Order): Promise<OrderAnswer> {
    const cached = this.answers.get(order.id);
    if (cached !== undefined) return cached;
    const answer = this.process(order);
    this.answers.set(order.id, answer);
    if (this.answers.size > MAX_CACHED_ANSWERS) {
      this.answers.delete(this.answers.keys().next().value!);
    }
    void answer.then((result) => this.handleAnswer(order, result));
    return answer;
  }

  /** Logs the answer, and drops it from the cache when a retry may have another outcome. */
  private handleAnswer(order: Order, answer: OrderAnswer): void {
    const { events } = this.replica.parts;
    if (answer.ok) {
      events.emit(FLEET_EVENTS.orderAccepted, { ...answer.val });
      return;
    }
    events.emit(FLEET_EVENTS.orderRejected, { orderId: order.id, ...answer.val });
    const isFinal = ['conflict', 'invalid', 'last-zone'].includes(answer.val.kind);
    if (!isFinal) this.answers.delete(order.id);
  }

  private async process(order: Order): Promise<OrderAnswer> {
    const { acceptor, history, parts } = this.replica;
    if (!acceptor.established || acceptor.committed === null) {
      return reject('not-ready', 'this host does not know the fleet record yet');
    }
    const existing = history.byOrder(order.id);
    if (existing !== undefined) return this.makeAcceptance(existing, false);
    if (order.kind === 'load-sheet') parts.sheets.add(order.sheet);
    const attempt: OrderAttempt = {
      order,
      basisEpoch: order.basisEpoch ?? acceptor.epoch,
      mayBeAccepted: false,
    };
    const deadline = parts.clock.now() + ORDER_TIMEOUT_MS;
    while (parts.clock.now() < deadline) {
      const answer = await this.proposals.runExclusive(() => this.attemptOnce(attempt));
      if (answer !== null) return answer;
      await this.proposals.backOff(BACKOFF_MS);
    }
    return attempt.mayBeAccepted
      ? reject('outcome-unknown', 'a minority holds the order; it may still be accepted')
      : reject('no-quorum', 'no majority of the voters answers');
  }

  /** Makes one attempt; null when the order must be evaluated again. */
  private async attemptOnce(attempt: OrderAttempt): Promise<OrderAnswer | null> {
    const { order } = attempt;
    const { acceptor, history } = this.replica;
    const record = acceptor.committed!;
    const existing = history.byOrder(order.id);
    if (existing !== undefined) return this.makeAcceptance(existing, false);
    const basis = {
      record,
      sheet: this.replica.sheet(),
      history,
      basisEpoch: attempt.basisEpoch,
    };
    return match(evaluateOrder(order, basis))
      .with({ kind: 'unchanged' }, () => this.confirmUnchanged(record))
      .with({ kind: 'rejected' }, ({ rejection }) => Promise.resolve(Err(rejection)))
      .with({ kind: 'change' }, async ({ change, reason }) => {
        const result = await this.proposals.proposeChange(change, order.id, reason);
        if (result.kind === 'no-quorum' && result.mayBeAccepted) attempt.mayBeAccepted = true;
        if (result.kind !== 'chosen' || result.record.orderId !== order.id) return null;
        if (result.confirmed) return this.makeAcceptance(result.record, false);
        return reject('outcome-unknown', 'accepted, but no majority confirmed the commit');
      })
      .exhaustive();
  }

  /** A host with an expired view must not answer that the order changes nothing. */
  private confirmUnchanged(record: FleetRecord): Promise<OrderAnswer | null> {
    return Promise.resolve(this.replica.isViewCurrent() ? this.makeAcceptance(record, true) : null);
  }

  private makeAcceptance(record: FleetRecord, unchanged: boolean): OrderAnswer {
    return Ok({ orderId: record.orderId, epoch: record.epoch, unchanged });
  }
}
