import { type Catalog } from '../catalog';
import { type TargetStatisticsTable } from '../knowledge';
import { type EventSink } from '../logging';
import { type Clock } from '../runtime';

import { BALANCER_EVENTS } from './events';

type LoggedCondition = 'healthy' | 'lost' | 'cold';

/**
 * Logs each change of a target between healthy, lost (not confirmed healthy since it was added,
 * restarted or last seen unreachable) and cold (not lost, but still in its cold period).
 */
export class TargetConditionLog {
  private readonly loggedConditions = new Map<string, LoggedCondition>();

  constructor(
    private readonly clock: Clock,
    private readonly targetStates: TargetStatisticsTable,
    private readonly events: EventSink,
  ) {}

  /** Logs the condition of a target if it differs from the one logged last. */
  update(target: string): void {
    const targetState = this.targetStates.get(target);
    if (targetState === undefined) return;
    const now = this.clock.now();
    let condition: LoggedCondition = 'healthy';
    if (targetState.lostAt > targetState.confirmedHealthyAt) condition = 'lost';
    else if (targetState.coldUntil > now) condition = 'cold';
    if ((this.loggedConditions.get(target) ?? 'healthy') === condition) return;
    this.loggedConditions.set(target, condition);
    const event = {
      healthy: BALANCER_EVENTS.targetHealthy,
      lost: BALANCER_EVENTS.targetLost,
      cold: BALANCER_EVENTS.targetCold,
    }[condition];
    this.events.emit(event, {
      target,
      service: targetState.service,
      coldLeft: Math.max(0, Math.round(targetState.coldUntil - now)),
      failureShare: Math.round(this.targetStates.failureShare(targetState) * 100) / 100,
    });
  }

  /** Removes targets that the catalog no longer contains. */
  applyCatalog(catalog: Catalog): void {
    for (const id of this.loggedConditions.keys())
      if (!catalog.targets.has(id)) this.loggedConditions.delete(id);
  }
}
