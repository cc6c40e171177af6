import { type Route } from './route';

/** Routes by host name; within a host name the longest matching prefix wins. */
export class RouteTable {
  private readonly byHostName = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const others = this.byHostName.get(route.hostName);
      if (others === undefined) this.byHostName.set(route.hostName, [route]);
      else others.push(route);
    }
    for (const routesOfHost of this.byHostName.values()) {
      routesOfHost.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }

  /**
   * Finds the route for a `Host` header and a path, which may have a query; null when none matches.
   */
  find(hostHeader: string, path: string): Route | null {
    const hostName = hostHeader.replace(/:\d*$/, '').toLowerCase();
    const queryIndex = path.indexOf('?');
    const pathWithoutQuery = queryIndex < 0 ? path : path.slice(0, queryIndex);
    const candidates = this.byHostName.get(hostName) ?? [];
    return candidates.find((route) => pathWithoutQuery.startsWith(route.prefix)) ?? null;
  }
}
