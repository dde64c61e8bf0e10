/** Registry of overload policies by name; policies register themselves when their module loads. */
import type { OverloadPolicy } from './overload.js';

const policies = new Map<string, OverloadPolicy>();

/** Registers a policy under its name; a second registration of a name is a defect. */
export function registerOverloadPolicy(policy: OverloadPolicy): void {
  if (policies.has(policy.name)) {
    throw new Error(`overload policy ${policy.name} is registered twice`);
  }
  policies.set(policy.name, policy);
}

/** Finds a policy by name. */
export function findOverloadPolicy(name: string): OverloadPolicy | undefined {
  return policies.get(name);
}

/** Names of all registered policies, sorted. */
export function listOverloadPolicies(): readonly string[] {
  return [...policies.keys()].sort();
}
