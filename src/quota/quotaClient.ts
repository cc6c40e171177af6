import { type Tenant } from '../catalog';
import {
  type HostAddress,
  type QuotaAnswer,
  type QuotaMessage,
  type QuotaResult,
} from '../exchange';
import { identityKey } from '../knowledge';
import { type Clock, type Random } from '../runtime';

import { KnownOwners } from './knownOwners';
import { type OwnedQuotas } from './ownedQuotas';
import { type OwnerOrder } from './ownerOrder';
import { type AskedHost, type PendingQuestion } from './pendingQuestion';
import { type QuotaReply } from './quotaReply';
import { ReturnedCalls } from './returnedCalls';
import { SilentHosts } from './silentHosts';
import { TenantsFarBelowLimit } from './tenantsFarBelowLimit';

// Hosts answer within 3 ms; a datagram that got lost is sent once more.
const RESEND_MS = 30;
const SUBSTITUTE_MS = 60;
const RESEND_SUBSTITUTE_MS = 80;
const GIVE_UP_MS = 100;
// A host that knows no host of the owner's zone needs three redirections.
const MAX_REDIRECTS = 3;
// Numbers below this value take three bytes.
const NUMBER_VALUES = 2 ** 21;

/** Dependencies of `QuotaClient`. */
export interface QuotaClientParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly self: HostAddress;
  readonly order: OwnerOrder;
  readonly owned: OwnedQuotas;
  readonly send: (ip: string, message: QuotaMessage) => void;
  readonly onQuestion: () => void;
  readonly onSubstitute: () => void;
  /** A host that was asked as owner does not answer. */
  readonly onSilence: (tenant: string, ip: string) => void;
}

/** Asks the owner of a quota for a call, and its substitute if the owner does not answer. */
export class QuotaClient {
  private readonly pending = new Map<number, PendingQuestion>();

  private readonly silent: SilentHosts;

  private readonly known: KnownOwners;

  private readonly returned = new ReturnedCalls();

  private readonly farBelowLimit: TenantsFarBelowLimit;

  private nextNumber: number;

  constructor(private readonly parts: QuotaClientParts) {
    this.silent = new SilentHosts(parts.clock);
    this.known = new KnownOwners(parts.clock);
    this.farBelowLimit = new TenantsFarBelowLimit(parts.clock);
    this.nextNumber = parts.random.integer(NUMBER_VALUES);
  }

  /** Asks for a call of a tenant. */
  ask(tenant: Tenant): Promise<QuotaReply> {
    return new Promise((resolve) => {
      const { number, key } = { number: this.takeNumber(), key: identityKey(tenant.name) };
      const question: PendingQuestion = {
        ...{ number, key, tenant: tenant.name, resolve },
        returned: this.returned.takeAll(key, this.parts.clock.now()),
        asked: new Map(),
        timers: [],
        redirectsLeft: MAX_REDIRECTS,
      };
      this.pending.set(number, question);
      this.start(question);
    });
  }

  /** Applies an answer of another host. */
  receive({ number, result }: QuotaAnswer, fromIp: string): void {
    this.silent.recordAnswer(fromIp);
    const question = this.pending.get(number);
    const asked = question?.asked.get(fromIp);
    if (question !== undefined && asked !== undefined)
      this.apply(question, result, asked.message.isSubstitute, fromIp);
  }

  /** Returns a granted call with the next question of the tenant. */
  giveBack(tenant: Tenant): void {
    const key = identityKey(tenant.name);
    if (!this.parts.owned.giveBack(key)) this.returned.add(key, this.parts.clock.now());
  }

  /** Ends all questions that wait. */
  close(): void {
    for (const question of [...this.pending.values()])
      this.finish(question, { kind: 'unanswered' });
  }

  /** Removes the state of hosts for which `has` is false. */
  retainHosts(has: (ip: string) => boolean): void {
    this.silent.retainHosts(has);
  }

  private start(question: PendingQuestion): void {
    const { clock } = this.parts;
    const startedAt = clock.now();
    const isOwnerSilent = !this.askRole(question, false);
    if (!this.isPending(question)) return;
    // An owner that did not answer lately is asked by a single question, and the call does not wait for it.
    if (isOwnerSilent && !this.askRole(question, true) && question.asked.size === 0)
      this.finish(question, { kind: 'unanswered' });
    if (!this.isPending(question)) return;
    const steps: readonly (readonly [afterMs: number, run: () => void])[] = [
      [RESEND_MS, () => this.resend(question)],
      [SUBSTITUTE_MS, () => this.askRole(question, true)],
      [RESEND_SUBSTITUTE_MS, () => this.resend(question)],
      [GIVE_UP_MS, () => this.giveUp(question)],
    ];
    for (const [afterMs, run] of steps)
      question.timers.push(clock.setTimer(startedAt + afterMs, run));
  }

  /** Asks the owner or the substitute; false if it did not answer lately. */
  private askRole(question: PendingQuestion, isSubstitute: boolean): boolean {
    const ip = this.hostOf(question.tenant, isSubstitute);
    if (ip === undefined) return false;
    if (isSubstitute) {
      this.recordSilence(question);
      this.parts.onSubstitute();
    }
    const wasSilent = this.silent.isSilent(ip);
    if (!this.silent.mayAsk(ip)) return false;
    this.send(question, ip, isSubstitute, this.parts.owned.hasCeased(question.key));
    return !wasSilent;
  }

  private hostOf(tenant: string, isSubstitute: boolean): string | undefined {
    const [owner, substitute] = this.parts.order.candidates(tenant);
    const candidate = isSubstitute ? substitute : owner;
    if (candidate?.ip === this.parts.self.ip) return candidate.ip;
    const named = this.known.find(`${isSubstitute} ${tenant}`);
    return named === undefined || this.silent.isSilent(named) ? candidate?.ip : named;
  }

  private send(
    question: PendingQuestion,
    ip: string,
    isSubstitute: boolean,
    isHandedOver: boolean,
  ): void {
    const { clock, self, owned } = this.parts;
    const { number, key: tenant } = question;
    const returned = isSubstitute ? 0 : question.returned;
    const message = { kind: 'quotaQuestion' as const, number, tenant, isSubstitute };
    const isFarBelowLimit = this.farBelowLimit.has(tenant);
    const sent = { ...message, isHandedOver, isFarBelowLimit, returned };
    question.asked.set(ip, { message: sent, sentAt: clock.now() });
    if (ip === self.ip) this.apply(question, owned.decide(sent), isSubstitute, ip);
    else {
      this.parts.onQuestion();
      this.parts.send(ip, sent);
    }
  }

  private apply(
    question: PendingQuestion,
    result: QuotaResult,
    isSubstitute: boolean,
    fromIp: string,
  ): void {
    const role = `${isSubstitute} ${question.tenant}`;
    if (result.kind !== 'redirect') {
      if (this.known.find(role) === fromIp) this.known.record(role, fromIp);
      this.farBelowLimit.record(question.key, result);
      this.finish(question, result);
      return;
    }
    if (question.redirectsLeft === 0 || question.asked.has(result.ip)) return;
    question.redirectsLeft -= 1;
    if (result.ip !== this.parts.self.ip) this.known.record(role, result.ip);
    this.send(question, result.ip, isSubstitute, result.hasCeased);
  }

  private resend(question: PendingQuestion): void {
    for (const [ip, { message }] of question.asked) {
      if (ip === this.parts.self.ip || this.silent.isSilent(ip)) continue;
      this.parts.onQuestion();
      this.parts.send(ip, message);
    }
  }

  private giveUp(question: PendingQuestion): void {
    this.recordSilence(question);
    this.finish(question, { kind: 'unanswered' });
  }

  private recordSilence(question: PendingQuestion): void {
    const { clock, self, onSilence } = this.parts;
    const isOverdue = ({ sentAt }: AskedHost) => clock.now() - sentAt >= SUBSTITUTE_MS / 2;
    for (const [ip, asked] of question.asked) {
      if (ip === self.ip || !isOverdue(asked)) continue;
      if (!this.silent.recordSilence(ip, asked.sentAt)) continue;
      this.known.forget(`${asked.message.isSubstitute} ${question.tenant}`);
      if (!asked.message.isSubstitute) onSilence(question.tenant, ip);
    }
  }

  private finish(question: PendingQuestion, reply: QuotaReply): void {
    if (!this.pending.delete(question.number)) return;
    for (const timer of question.timers) timer.cancel();
    question.resolve(reply);
  }

  private isPending(question: PendingQuestion): boolean {
    return this.pending.has(question.number);
  }

  private takeNumber(): number {
    this.nextNumber = (this.nextNumber + 1) % NUMBER_VALUES;
    return this.nextNumber;
  }
}
