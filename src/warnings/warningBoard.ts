import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { type Clock } from '../runtime';

import { CONDITION_NAMES, type ConditionName } from './conditionName';
import { CONDITIONS } from './conditions';
import { WARNING_EVENTS } from './events';
import { type Finding } from './finding';
import { FINDERS } from './findings';
import { isRaiser } from './isRaiser';
import { WARNING_METRICS } from './metrics';
import { type Observation } from './observation';
import { type OpenWarning } from './openWarning';

// A host that was paused for longer does not know whether a condition lasted meanwhile.
const LONGEST_GAP_MS = 5000;
// A dead raiser is noticed after 3 s; what is due around that time is raised rather than assumed.
const TAKEOVER_MS = 5000;

interface HeldCondition extends OpenWarning {
  /** Monotonic time at which the warning is raised when the condition still holds. */
  readonly raiseAt: number;
}

/** What a warning board works with. */
export interface WarningBoardParts {
  readonly hostId: string;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: MetricsSink;
  readonly observe: () => Observation;
}

/** Evaluates the conditions; every host does, and one of them raises the warnings. */
export class WarningBoard {
  private held = new Map<string, HeldCondition>();

  private readonly raised = new Set<string>();

  private raiserSince: number | null = null;

  private evaluatedAt: number;

  constructor(private readonly parts: WarningBoardParts) {
    this.evaluatedAt = parts.clock.now();
  }

  /** Warnings that this host raised for the fleet and that still hold. */
  open(): readonly OpenWarning[] {
    return [...this.held].filter(([key]) => this.raised.has(key)).map(([, held]) => held);
  }

  /** Evaluates all conditions; to be called about once a second. */
  evaluate(): void {
    const { clock, hostId, metrics, observe } = this.parts;
    const now = clock.now();
    const observation = observe();
    const hadGap = now - this.evaluatedAt > LONGEST_GAP_MS;
    this.held = this.findHeld(observation, now, hadGap);
    this.evaluatedAt = now;
    this.clearEnded();
    if (isRaiser(observation, hostId)) this.raiseDue(now);
    else {
      this.raiserSince = null;
      this.raised.clear();
    }
    metrics.gauge(WARNING_METRICS.open, this.open().length);
  }

  private findHeld(
    observation: Observation,
    now: number,
    hadGap: boolean,
  ): Map<string, HeldCondition> {
    const held = new Map<string, HeldCondition>();
    for (const condition of CONDITION_NAMES) {
      for (const finding of FINDERS[condition](observation, now)) {
        const key = `${condition} ${finding.subject}`;
        const earlier = this.held.get(key);
        const keeps = earlier !== undefined && (!hadGap || this.raised.has(key));
        held.set(
          key,
          keeps ? { ...earlier, detail: finding.detail } : this.hold(condition, finding, now),
        );
      }
    }
    return held;
  }

  private hold(condition: ConditionName, finding: Finding, now: number): HeldCondition {
    const since = finding.since ?? now;
    const { subject, detail } = finding;
    return { condition, subject, detail, since, raiseAt: since + CONDITIONS[condition].holdMs };
  }

  private raiseDue(now: number): void {
    this.raiserSince ??= now;
    for (const [key, held] of this.held) {
      if (held.raiseAt > now || this.raised.has(key)) continue;
      this.raised.add(key);
      const { condition, subject, detail } = held;
      // The raiser before this one has raised what was due well before the change.
      const isContinued = held.raiseAt < this.raiserSince - TAKEOVER_MS;
      const event = isContinued ? WARNING_EVENTS.continued : WARNING_EVENTS.raised;
      const { action } = CONDITIONS[condition];
      this.parts.events.emit(event, { condition, subject, detail, action });
    }
  }

  private clearEnded(): void {
    for (const key of [...this.raised]) {
      if (this.held.has(key)) continue;
      this.raised.delete(key);
      const [condition, subject] = key.split(' ');
      this.parts.events.emit(WARNING_EVENTS.cleared, { condition, subject });
    }
  }
}
