import { type Catalog, type Target } from '../catalog';
import { type Random } from '../runtime';

// Targets beyond the preferred ones that a call is placed among when none of these has room.
const MIN_SAMPLED_TARGETS = 4;
const MAX_SAMPLED_TARGETS = 12;

/** Which targets a host uses before others; changes with each new `version`. */
export interface TargetPreference {
  has(target: string): boolean;
  version(): number;
}

interface ServiceTargets {
  readonly catalog: Catalog;
  readonly version: number;
  readonly preferred: readonly Target[];
  /** The targets to sample when no preferred one has room, those of this zone before others. */
  readonly others: readonly Target[];
  /** The targets of other zones, unless they are among the others. */
  readonly otherZones: readonly Target[];
}

/**
 * Usable targets of each service. They are sorted out once for each change, so that the placement of
 * a call does not take longer when a service has more targets.
 */
export class TargetPool {
  private readonly byService = new Map<string, ServiceTargets>();

  constructor(
    private readonly zone: string,
    private readonly random: Random,
    private readonly preference: TargetPreference,
  ) {}

  /** The usable targets that this host uses before others. */
  preferred(catalog: Catalog, service: string): readonly Target[] {
    return this.targetsOf(catalog, service).preferred;
  }

  /** A random sample of the usable targets that are not preferred. */
  sampleOthers(catalog: Catalog, service: string): readonly Target[] {
    return this.sample(this.targetsOf(catalog, service).others);
  }

  /** A random sample of the usable targets of other zones that `sampleOthers` leaves out. */
  sampleOtherZones(catalog: Catalog, service: string): readonly Target[] {
    return this.sample(this.targetsOf(catalog, service).otherZones);
  }

  private sample(targets: readonly Target[]): readonly Target[] {
    if (targets.length <= MAX_SAMPLED_TARGETS) return targets;
    const first = this.random.integer(targets.length);
    const sample = targets.slice(first, first + MAX_SAMPLED_TARGETS);
    return [...sample, ...targets.slice(0, MAX_SAMPLED_TARGETS - sample.length)];
  }

  private targetsOf(catalog: Catalog, service: string): ServiceTargets {
    const version = this.preference.version();
    const known = this.byService.get(service);
    if (known !== undefined && known.catalog === catalog && known.version === version) return known;
    const usable = (catalog.targetsByService.get(service) ?? []).filter(
      (target) => target.state === 'ready' && !catalog.zonesOut.has(target.zone),
    );
    const preferred = usable.filter((target) => this.preference.has(target.id));
    const rest = usable.filter((target) => !this.preference.has(target.id));
    const near = rest.filter((target) => target.zone === this.zone);
    const hasNear = near.length >= MIN_SAMPLED_TARGETS;
    const others = hasNear ? near : rest;
    const otherZones = hasNear ? rest.filter((target) => target.zone !== this.zone) : [];
    const sorted = { catalog, version, preferred, others, otherZones };
    this.byService.set(service, sorted);
    return sorted;
  }
}
