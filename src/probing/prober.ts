import { type FleetView } from '../fleet';

import { type ProbeContext } from './probeContext';
import { TargetProber } from './targetProber';

/** Probes the targets that this host owns; a target is probed only by its owner. */
export class Prober {
  private readonly probers = new Map<string, TargetProber>();

  constructor(private readonly context: ProbeContext) {}

  /** Starts probing new owned targets and stops probing others; called after `Router.applyView`. */
  applyView(view: FleetView): void {
    for (const [targetId, prober] of this.probers) {
      if (view.owned.has(targetId)) continue;
      this.probers.delete(targetId);
      void prober.close();
    }
    for (const targetId of view.owned.keys()) {
      if (this.probers.has(targetId)) continue;
      this.probers.set(targetId, new TargetProber(targetId, this.context));
    }
  }

  /** Stops all probing. */
  async close(): Promise<void> {
    await Promise.all([...this.probers.values()].map((prober) => prober.close()));
    this.probers.clear();
  }
}
