/** Hosts and target ids that a tenant's rules share with another tenant's. */
import type { Violation } from '../core/failure.js';
import type { RevisionRecord } from './config-store.js';
import { normalizeHost } from './in-memory-config-store.js';
import type { Rules } from './rules.js';

/** One violation for each host or target id of `rules` that another tenant already has. */
export function findClaimConflicts(
  rules: Rules,
  records: readonly RevisionRecord[],
): readonly Violation[] {
  const others = records.filter(({ tenant }) => tenant !== rules.tenant);
  const owners = new Map<string, string>();
  for (const other of others) {
    for (const { claim } of claimsOf(other.rules)) owners.set(claim, other.tenant);
  }
  return claimsOf(rules).flatMap(({ claim, path }) => {
    const owner = owners.get(claim);
    return owner === undefined ? [] : [{ path, message: `${claim} belongs to tenant ${owner}` }];
  });
}

function claimsOf({ services }: Rules): readonly { claim: string; path: string }[] {
  return services.flatMap(({ hosts, targets }, index) => [
    ...hosts.map((host, position) => ({
      claim: `host ${normalizeHost(host)}`,
      path: `services.${index}.hosts.${position}`,
    })),
    ...targets.map(({ id }, position) => ({
      claim: `target ${id}`,
      path: `services.${index}.targets.${position}.id`,
    })),
  ]);
}
