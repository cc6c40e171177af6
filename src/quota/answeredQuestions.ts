import { type QuotaResult } from '../exchange';

const RETENTION_MS = 1000;

interface Answered {
  readonly key: string;
  readonly forgottenAt: number;
}

/** The answers of the last second, so that a repeated question takes no further token. */
export class AnsweredQuestions {
  private readonly results = new Map<string, QuotaResult>();

  private order: Answered[] = [];

  private firstKept = 0;

  /** The earlier result for this question of this host; otherwise that of `decide`. */
  answer(now: number, fromIp: string, number: number, decide: () => QuotaResult): QuotaResult {
    this.forget(now);
    const key = `${fromIp} ${number}`;
    const earlier = this.results.get(key);
    if (earlier !== undefined) return earlier;
    const result = decide();
    this.results.set(key, result);
    this.order.push({ key, forgottenAt: now + RETENTION_MS });
    return result;
  }

  private forget(now: number): void {
    const { order } = this;
    while (this.firstKept < order.length && order[this.firstKept]!.forgottenAt <= now) {
      this.results.delete(order[this.firstKept]!.key);
      this.firstKept += 1;
    }
    if (this.firstKept * 2 < order.length) return;
    this.order = order.slice(this.firstKept);
    this.firstKept = 0;
  }
}
