import { type Route } from './route';

/** Routes by host name; within a host name the longest prefix wins. */
export class RouteTable {
  private readonly byHostName = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const others = this.byHostName.get(route.hostName);
      if (others === undefined) this.byHostName.set(route.hostName, [route]);
      else others.push(route);
    }
    for (const list of this.byHostName.values()) {
      list.sort((left, right) => right.prefix.length - left.prefix.length);
    }
  }

  /** The route for a `Host` header and a path with or without a query; null when none matches. */
  find(hostHeader: string, path: string): Route | null {
    const hostName = hostHeader.replace(/:\d*$/, '').toLowerCase();
    const query = path.indexOf('?');
    const plainPath = query < 0 ? path : path.slice(0, query);
    const candidates = this.byHostName.get(hostName) ?? [];
    return candidates.find((route) => plainPath.startsWith(route.prefix)) ?? null;
  }
}
