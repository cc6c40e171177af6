import { type LeavingTarget } from './leavingTarget';

// Some notices are about targets that were removed, which never appear again.
const MAX_KEPT = 100;

/**
 * Notices of leaving targets that came before the target, or before its newest start: a host that
 * joins is told what the others know before it has its catalog.
 */
export class EarlyLeavings {
  private readonly latest = new Map<string, LeavingTarget>();

  /** Keeps a notice until the target appears; the oldest ones are dropped beyond a bound. */
  keep(notice: LeavingTarget): void {
    // Without a start, it could be taken for one of a later start.
    if (notice.startedAt === null) return;
    this.latest.delete(notice.id);
    this.latest.set(notice.id, notice);
    const [oldest] = this.latest.keys();
    if (this.latest.size > MAX_KEPT) this.latest.delete(oldest!);
  }

  /** Removes and returns the notice of a target; null if there is none. */
  take(id: string): LeavingTarget | null {
    const notice = this.latest.get(id) ?? null;
    this.latest.delete(id);
    return notice;
  }
}
