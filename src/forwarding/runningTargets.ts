import { type CallTraits } from '../routing';

/** Targets that run a call now; a hedge that reaches the same owner takes another target. */
export class RunningTargets {
  private readonly targets = new Map<string, string>();

  /** The traits to choose a target by: targets that run the same call are avoided. */
  traitsFor(traits: CallTraits): CallTraits {
    const running = this.targets.get(traits.callId);
    if (running === undefined) return traits;
    return { ...traits, avoid: new Set([...traits.avoid, running]) };
  }

  begin(callId: string, target: string): void {
    this.targets.set(callId, target);
  }

  end(callId: string, target: string): void {
    if (this.targets.get(callId) === target) this.targets.delete(callId);
  }
}
