/** Finds the route of a request: by host, then by the longest path prefix. */
import { TenantTable } from '../tenants/tenant-table.js';
import type { RouteRules, RoutingRules } from './routing-rules.js';
import { WeightedRoundRobin } from './weighted-round-robin.js';

/** A route with the state that distributes its requests over services. */
export interface Route {
  readonly rules: RouteRules;
  /** Chooses the service of the next request. */
  nextService(): string;
}

/** Routing table of one rules document. */
export class RouteTable {
  /** Routes by host, then by prefix. */
  private readonly byHost = new Map<string, Map<string, Route>>();

  /** Undefined: requests need no API key. */
  readonly tenants: TenantTable | undefined;

  constructor(readonly rules: RoutingRules) {
    this.tenants = rules.tenants && new TenantTable(rules.tenants);
    for (const route of rules.routes) this.add(route);
  }

  /**
   * @param host value of the Host field; a port is ignored
   * @param path path with query, as received
   */
  find(host: string, path: string): Route | undefined {
    const routes = this.byHost.get(normalizeHost(host));
    if (routes === undefined) return undefined;
    const end = path.indexOf('?');
    // A prefix ends with a slash, so only parts of the path that end with one can match; the longest first.
    let slash = path.lastIndexOf('/', end < 0 ? path.length : end - 1);
    while (slash >= 0) {
      const route = routes.get(path.slice(0, slash + 1));
      if (route !== undefined || slash === 0) return route;
      slash = path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }

  private add(rules: RouteRules): void {
    const host = normalizeHost(rules.host);
    const routes = this.byHost.get(host) ?? new Map<string, Route>();
    const roundRobin = new WeightedRoundRobin(rules.shares);
    routes.set(rules.pathPrefix, { rules, nextService: () => roundRobin.next() });
    this.byHost.set(host, routes);
  }
}

function normalizeHost(host: string): string {
  const colon = host.lastIndexOf(':');
  const name = colon < 0 ? host : host.slice(0, colon);
  return name.toLowerCase();
}
