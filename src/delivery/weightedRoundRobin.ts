import { type Route } from '../catalog';
import { type Random } from '../runtime';

/**
 * Smooth weighted round-robin over the services of a route. For each call, the weight of every part
 * is added to its current weight; the part with the largest current weight is chosen, and the sum of
 * all weights is subtracted from its current weight. The shares therefore hold even over a few calls.
 */
export class WeightedRoundRobin {
  /** Current weight of each service, by name of the route with the weights of its parts. */
  private readonly currentWeightsByRoute = new Map<string, Map<string, number>>();

  constructor(private readonly random: Random) {}

  /** The service for the next call; null when the route has several parts and none has weight. */
  next(route: Route): string | null {
    if (route.parts.length === 1) return route.parts[0]!.service;
    const total = route.parts.reduce((sum, part) => sum + part.weight, 0);
    if (total <= 0) return null;
    const key = `${route.name} ${route.parts.map((part) => `${part.service}:${part.weight}`).join()}`;
    let currentWeights = this.currentWeightsByRoute.get(key);
    if (currentWeights === undefined) {
      // Random initial weights let hosts start at different points, so that the shares also hold over
      // all hosts from the start.
      currentWeights = new Map(
        route.parts.map((part) => [part.service, part.weight * this.random.next()]),
      );
      this.currentWeightsByRoute.set(key, currentWeights);
    }
    let chosen = route.parts[0]!.service;
    for (const { service, weight } of route.parts) {
      currentWeights.set(service, currentWeights.get(service)! + weight);
      if (currentWeights.get(service)! > currentWeights.get(chosen)!) chosen = service;
    }
    currentWeights.set(chosen, currentWeights.get(chosen)! - total);
    return chosen;
  }

  /**
   * Discards the current weights of all routes, those of earlier configurations included. Called when
   * a configuration is applied; each route then starts with random current weights again.
   */
  clear(): void {
    this.currentWeightsByRoute.clear();
  }
}
