import { type Route } from '../catalog';
import { type Random } from '../runtime';

/**
 * Smooth weighted round-robin over the services of a route: with each call every part earns credit
 * equal to its weight, and the part with the most credit is chosen and pays the total. The shares
 * therefore hold even over a few calls.
 */
export class WeightedRoundRobin {
  private readonly credits = new Map<string, Map<string, number>>();

  constructor(private readonly random: Random) {}

  /** The service for the next call; null when no part has weight. */
  next(route: Route): string | null {
    if (route.parts.length === 1) return route.parts[0]!.service;
    const total = route.parts.reduce((sum, part) => sum + part.weight, 0);
    if (total <= 0) return null;
    const key = `${route.name} ${route.parts.map((part) => `${part.service}:${part.weight}`).join()}`;
    let credits = this.credits.get(key);
    if (credits === undefined) {
      // Random initial credits let hosts start at different points, so that the shares also hold over
      // all hosts from the start.
      credits = new Map(
        route.parts.map((part) => [part.service, part.weight * this.random.next()]),
      );
      this.credits.set(key, credits);
    }
    let chosen = route.parts[0]!.service;
    for (const { service, weight } of route.parts) {
      credits.set(service, credits.get(service)! + weight);
      if (credits.get(service)! > credits.get(chosen)!) chosen = service;
    }
    credits.set(chosen, credits.get(chosen)! - total);
    return chosen;
  }

  /** Drops the credits of routes of earlier configurations. */
  clear(): void {
    this.credits.clear();
  }
}
