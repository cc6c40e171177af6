import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { type Clock } from '../runtime';

import { CONDITION_NAMES, type ConditionName } from './conditionName';
import { CONDITIONS } from './conditions';
import { WARNING_EVENTS } from './events';
import { type Finding } from './finding';
import { FINDERS } from './findings';
import { isRaisingHost } from './isRaisingHost';
import { WARNING_METRICS } from './metrics';
import { type Observation } from './observation';
import { type OpenWarning } from './openWarning';

// A host that was paused for longer cannot know whether a condition persisted during the pause.
const MAX_EVALUATION_GAP_MS = 5000;
// The failure of the raising host is detected after 3 s. A warning due around that time is raised
// again, since the failed host may not have raised it.
const TAKEOVER_GRACE_MS = 5000;

interface ActiveCondition extends OpenWarning {
  /** Monotonic time at which the warning is raised when the condition still holds. */
  readonly raiseAt: number;
}

/** Dependencies of a warning board. */
export interface WarningBoardParts {
  readonly hostId: string;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: MetricsSink;
  readonly observe: () => Observation;
}

/** Evaluates the conditions on every host and raises the warnings on one of them. */
export class WarningBoard {
  private activeConditions = new Map<string, ActiveCondition>();

  private readonly raised = new Set<string>();

  private raisingSince: number | null = null;

  private lastEvaluatedAt: number;

  constructor(private readonly parts: WarningBoardParts) {
    this.lastEvaluatedAt = parts.clock.now();
  }

  /** Warnings that this host raised for the fleet and that have not been cleared. */
  open(): readonly OpenWarning[] {
    return [...this.activeConditions]
      .filter(([key]) => this.raised.has(key))
      .map(([, condition]) => condition);
  }

  /** Evaluates all conditions; to be called about once per second. */
  evaluate(): void {
    const { clock, hostId, metrics, observe } = this.parts;
    const now = clock.now();
    const observation = observe();
    const hadGap = now - this.lastEvaluatedAt > MAX_EVALUATION_GAP_MS;
    this.activeConditions = this.findActive(observation, now, hadGap);
    this.lastEvaluatedAt = now;
    this.clearEnded();
    if (isRaisingHost(observation, hostId)) this.raiseDue(now);
    else {
      this.raisingSince = null;
      this.raised.clear();
    }
    metrics.gauge(WARNING_METRICS.open, this.open().length);
  }

  private findActive(
    observation: Observation,
    now: number,
    hadGap: boolean,
  ): Map<string, ActiveCondition> {
    const active = new Map<string, ActiveCondition>();
    for (const condition of CONDITION_NAMES) {
      for (const finding of FINDERS[condition](observation, now)) {
        const key = `${condition} ${finding.subject}`;
        const previous = this.activeConditions.get(key);
        const canKeep = previous !== undefined && (!hadGap || this.raised.has(key));
        active.set(
          key,
          canKeep
            ? { ...previous, detail: finding.detail }
            : this.activate(condition, finding, now),
        );
      }
    }
    return active;
  }

  private activate(condition: ConditionName, finding: Finding, now: number): ActiveCondition {
    const since = finding.since ?? now;
    const { subject, detail } = finding;
    return { condition, subject, detail, since, raiseAt: since + CONDITIONS[condition].holdMs };
  }

  private raiseDue(now: number): void {
    this.raisingSince ??= now;
    for (const [key, active] of this.activeConditions) {
      if (active.raiseAt > now || this.raised.has(key)) continue;
      this.raised.add(key);
      const { condition, subject, detail } = active;
      // A warning due well before the takeover was already raised by the previous raising host.
      const isContinued = active.raiseAt < this.raisingSince - TAKEOVER_GRACE_MS;
      const event = isContinued ? WARNING_EVENTS.continued : WARNING_EVENTS.raised;
      const { action } = CONDITIONS[condition];
      this.parts.events.emit(event, { condition, subject, detail, action });
    }
  }

  private clearEnded(): void {
    for (const key of [...this.raised]) {
      if (this.activeConditions.has(key)) continue;
      this.raised.delete(key);
      const [condition, subject] = key.split(' ');
      this.parts.events.emit(WARNING_EVENTS.cleared, { condition, subject });
    }
  }
}
