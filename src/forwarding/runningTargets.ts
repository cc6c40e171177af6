import { type CallTraits } from '../routing';

/** Target of each running call; a hedge on the same owner is sent to another target. */
export class RunningTargets {
  private readonly targets = new Map<string, string>();

  /** Adds the target that is running the same call to the targets to avoid. */
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
