import { type Route } from '../catalog';
import { type Random } from '../runtime';

/**
 * Shares the calls of a route among its services: each part gains its weight with each call and the
 * richest one pays, so that the shares hold over any few calls.
 */
export class WeightedChoice {
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
      // Hosts begin at different points, so that together they keep the shares from the start.
      credits = new Map(
        route.parts.map((part) => [part.service, part.weight * this.random.next()]),
      );
      this.credits.set(key, credits);
    }
    let best = route.parts[0]!.service;
    for (const { service, weight } of route.parts) {
      credits.set(service, credits.get(service)! + weight);
      if (credits.get(service)! > credits.get(best)!) best = service;
    }
    credits.set(best, credits.get(best)! - total);
    return best;
  }

  /** Forgets the routes of earlier configurations. */
  clear(): void {
    this.credits.clear();
  }
}
