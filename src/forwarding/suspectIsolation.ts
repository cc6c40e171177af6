import { type CallTraits } from '../routing';

/** Allows one suspect call per target: with two, a crash could not be attributed to either. */
export class SuspectIsolation {
  private readonly targets = new Set<string>();

  /** Adds the targets that are running a suspect to those that a suspect call avoids. */
  traitsFor(traits: CallTraits): CallTraits {
    if (traits.suspect === null || this.targets.size === 0) return traits;
    return { ...traits, avoid: new Set([...traits.avoid, ...this.targets]) };
  }

  /** Reserves a target for a suspect; false when another suspect is running there. */
  tryBegin(target: string): boolean {
    if (this.targets.has(target)) return false;
    this.targets.add(target);
    return true;
  }

  end(target: string): void {
    this.targets.delete(target);
  }
}
