import { type Route } from '../catalog';
import { type Random } from '../runtime';

function keyOf({ name, parts }: Route): string {
  return `${name} ${parts.map((part) => `${part.service}:${part.weight}`).join()}`;
}

/**
 * Smooth weighted round-robin over the services of a route. For each call, the weight of every part
 * is added to its current weight; the part with the largest current weight is chosen, and the sum of
 * all weights is subtracted from its current weight. The shares therefore hold even over a few calls.
 */
export class WeightedRoundRobin {
  /** Current weight of each service, by name of the route with the weights of its parts. */
  private readonly currentWeightsByRoute = new Map<string, Map<string, number>>();

  private retainedRoutes: readonly Route[] = [];

  constructor(private readonly random: Random) {}

  /** The service for the next call; null when the route has several parts and none has weight. */
  next(route: Route): string | null {
    if (route.parts.length === 1) return route.parts[0]!.service;
    const total = route.parts.reduce((sum, part) => sum + part.weight, 0);
    if (total <= 0) return null;
    const key = keyOf(route);
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

  /** Discards the current weights of routes that a configuration no longer has in this form. */
  retain(routes: readonly Route[]): void {
    if (routes === this.retainedRoutes) return;
    this.retainedRoutes = routes;
    const keys = new Set(routes.filter(({ parts }) => parts.length > 1).map(keyOf));
    for (const key of this.currentWeightsByRoute.keys())
      if (!keys.has(key)) this.currentWeightsByRoute.delete(key);
  }
}
