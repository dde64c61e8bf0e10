/** Finds the route of a request: by host, then by the longest path prefix. */
import type { RouteRules, RoutingRules } from './routing-rules.js';
import { WeightedTurns } from './weighted-turns.js';

/** A route with the state that spreads its requests over services. */
export interface Route {
  readonly rules: RouteRules;
  /** Chooses the service of the next request. */
  nextService(): string;
}

/** Routes of one document. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  constructor(readonly rules: RoutingRules) {
    for (const route of rules.routes) this.add(route);
    for (const routes of this.byHost.values()) routes.sort(byLongestPrefix);
  }

  /**
   * @param host value of the Host field; a port is passed over
   * @param path path with query, as received
   */
  find(host: string, path: string): Route | undefined {
    const routes = this.byHost.get(normalizeHost(host));
    return routes?.find(({ rules }) => path.startsWith(rules.pathPrefix));
  }

  private add(rules: RouteRules): void {
    const host = normalizeHost(rules.host);
    const routes = this.byHost.get(host) ?? [];
    const turns = new WeightedTurns(rules.shares);
    routes.push({ rules, nextService: () => turns.next() });
    this.byHost.set(host, routes);
  }
}

function byLongestPrefix(a: Route, b: Route): number {
  return b.rules.pathPrefix.length - a.rules.pathPrefix.length;
}

function normalizeHost(host: string): string {
  const colon = host.lastIndexOf(':');
  const name = colon < 0 ? host : host.slice(0, colon);
  return name.toLowerCase();
}
