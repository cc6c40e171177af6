import { type CallTraits } from '../routing';

/** Targets that run a suspect now: a second one there would leave open which of them is at fault. */
export class SuspectPlaces {
  private readonly targets = new Set<string>();

  /** The traits to choose a target by: a suspect avoids targets that run another one. */
  traitsFor(traits: CallTraits): CallTraits {
    if (traits.suspect === null || this.targets.size === 0) return traits;
    return { ...traits, avoid: new Set([...traits.avoid, ...this.targets]) };
  }

  /** Takes the place on a target; false when another suspect runs there. */
  begin(target: string): boolean {
    if (this.targets.has(target)) return false;
    this.targets.add(target);
    return true;
  }

  end(target: string): void {
    this.targets.delete(target);
  }
}
