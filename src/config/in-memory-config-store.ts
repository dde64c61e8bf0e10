/**
 * The rules in force, kept in memory and indexed for the data path.
 *
 * A host or target id that two tenants claim belongs to the tenant that was created first
 * (`createdVersion`, then the tenant's name), so that every node with the same records
 * decides the same way and a tenant does not lose a host by changing its own rules.
 */
import type { ConfigStore, LocatedTarget, RevisionRecord } from './config-store.js';
import type { KindRules, ServiceRules } from './rules.js';

interface ServiceOfTenant {
  readonly tenant: string;
  readonly service: ServiceRules;
}

interface Indexes {
  readonly byHost: ReadonlyMap<string, ServiceOfTenant>;
  readonly byTarget: ReadonlyMap<string, LocatedTarget>;
}

/** ConfigStore in memory; revisions per tenant only rise. */
export class InMemoryConfigStore implements ConfigStore {
  private readonly byTenant = new Map<string, RevisionRecord>();
  private readonly listeners = new Set<() => void>();
  private indexes: Indexes = { byHost: new Map(), byTarget: new Map() };
  private highestVersion = 0;

  get version(): number {
    return this.highestVersion;
  }

  offer(record: RevisionRecord): boolean {
    const current = this.byTenant.get(record.tenant);
    if (current !== undefined && current.revision >= record.revision) return false;
    this.byTenant.set(record.tenant, record);
    this.highestVersion = Math.max(this.highestVersion, record.version);
    this.indexes = buildIndexes(this.byTenant.values());
    for (const listener of [...this.listeners]) listener();
    return true;
  }

  records(): readonly RevisionRecord[] {
    return [...this.byTenant.values()].sort((a, b) => compareText(a.tenant, b.tenant));
  }

  find(tenant: string): RevisionRecord | undefined {
    return this.byTenant.get(tenant);
  }

  findServiceByHost(host: string): ServiceOfTenant | undefined {
    return this.indexes.byHost.get(normalizeHost(host));
  }

  findService(tenant: string, name: string): ServiceRules | undefined {
    return this.byTenant.get(tenant)?.rules.services.find((service) => service.name === name);
  }

  findKind(service: ServiceRules, method: string, path: string): KindRules | undefined {
    const pathOnly = path.split('?', 1)[0] ?? path;
    let best: KindRules | undefined;
    for (const kind of service.kinds) {
      if (!matches(kind, method, pathOnly)) continue;
      if (best === undefined || isMoreSpecific(kind, best)) best = kind;
    }
    return best;
  }

  findTarget(targetId: string): LocatedTarget | undefined {
    return this.indexes.byTarget.get(targetId);
  }

  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }
}

/** Lower-cases a `Host` value and drops its port and a trailing dot. */
export function normalizeHost(host: string): string {
  const withoutPort = host.startsWith('[')
    ? host.replace(/\]:\d*$/, ']')
    : host.replace(/^([^:]*):\d*$/, '$1');
  return withoutPort.toLowerCase().replace(/\.$/, '');
}

function matches(kind: KindRules, method: string, path: string): boolean {
  if (kind.match.method !== undefined && kind.match.method !== method) return false;
  return path.startsWith(kind.match.pathPrefix);
}

/** Longer prefix first, then a given method before any; the earlier kind wins a tie. */
function isMoreSpecific(candidate: KindRules, best: KindRules): boolean {
  const difference = candidate.match.pathPrefix.length - best.match.pathPrefix.length;
  if (difference !== 0) return difference > 0;
  return candidate.match.method !== undefined && best.match.method === undefined;
}

function buildIndexes(records: Iterable<RevisionRecord>): Indexes {
  const byHost = new Map<string, ServiceOfTenant>();
  const byTarget = new Map<string, LocatedTarget>();
  for (const { tenant, rules } of [...records].sort(compareAge)) {
    for (const service of rules.services) {
      for (const host of service.hosts)
        addIfAbsent(byHost, normalizeHost(host), { tenant, service });
      for (const target of service.targets) {
        addIfAbsent(byTarget, target.id, { tenant, service, target });
      }
    }
  }
  return { byHost, byTarget };
}

function addIfAbsent<V>(map: Map<string, V>, key: string, value: V): void {
  if (!map.has(key)) map.set(key, value);
}

function compareAge(a: RevisionRecord, b: RevisionRecord): number {
  const difference = (a.createdVersion ?? a.version) - (b.createdVersion ?? b.version);
  return difference === 0 ? compareText(a.tenant, b.tenant) : difference;
}

function compareText(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
