import { type Catalog } from '../catalog';
import { type KnowledgeTable } from '../knowledge';
import { type EventSink } from '../logging';
import { type Clock } from '../runtime';

import { BALANCER_EVENTS } from './events';

type Belief = 'sound' | 'lost' | 'cold';

/** Logs each change in whether a target is taken as lost, cold or sound. */
export class BeliefLog {
  private readonly beliefs = new Map<string, Belief>();

  constructor(
    private readonly clock: Clock,
    private readonly knowledge: KnowledgeTable,
    private readonly events: EventSink,
  ) {}

  /** Looks at a target after something was learned of it. */
  note(target: string): void {
    const held = this.knowledge.get(target);
    if (held === undefined) return;
    const now = this.clock.now();
    let belief: Belief = 'sound';
    if (held.lostAt > held.soundAt) belief = 'lost';
    else if (held.coldUntil > now) belief = 'cold';
    if ((this.beliefs.get(target) ?? 'sound') === belief) return;
    this.beliefs.set(target, belief);
    const event = {
      sound: BALANCER_EVENTS.targetSound,
      lost: BALANCER_EVENTS.targetLost,
      cold: BALANCER_EVENTS.targetCold,
    }[belief];
    this.events.emit(event, {
      target,
      service: held.service,
      coldLeft: Math.max(0, Math.round(held.coldUntil - now)),
      failureShare: Math.round(this.knowledge.failureShare(held) * 100) / 100,
    });
  }

  /** Forgets targets that are gone. */
  follow(catalog: Catalog): void {
    for (const id of this.beliefs.keys()) if (!catalog.targets.has(id)) this.beliefs.delete(id);
  }
}
