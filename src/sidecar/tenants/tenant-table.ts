/** Lookup of the tenants of one rules document, by API key and by name. */
import { createHash } from 'node:crypto';
import type { TenantRules } from '../rules/routing-rules.js';

/** Length of a fingerprint, in base64url characters of six bits each. */
const FINGERPRINT_LENGTH = 22;

export class TenantTable {
  private readonly byKey = new Map<string, TenantRules>();
  private readonly byName = new Map<string, TenantRules>();
  /** Fingerprints computed so far, by key. */
  private readonly fingerprints = new Map<string, string>();

  constructor(tenants: readonly TenantRules[]) {
    for (const tenant of tenants) {
      this.byName.set(tenant.name, tenant);
      for (const key of tenant.apiKeys) this.byKey.set(key, tenant);
    }
  }

  /** Tenant that holds an API key; undefined: none does. */
  holderOf(apiKey: string): TenantRules | undefined {
    return this.byKey.get(apiKey);
  }

  /** Tenant of this name; undefined: there is none. */
  find(name: string): TenantRules | undefined {
    return this.byName.get(name);
  }

  /** Names of the tenants with a limit. */
  get limited(): readonly string[] {
    return [...this.byName.values()]
      .filter(({ limit }) => limit !== undefined)
      .map(({ name }) => name);
  }

  /** Digest that identifies an API key where the key itself must not be visible. */
  fingerprintOf(apiKey: string): string {
    let fingerprint = this.fingerprints.get(apiKey);
    if (fingerprint === undefined) {
      fingerprint = createHash('sha256')
        .update(apiKey)
        .digest('base64url')
        .slice(0, FINGERPRINT_LENGTH);
      this.fingerprints.set(apiKey, fingerprint);
    }
    return fingerprint;
  }

  /** Whether a tenant holds the API key with this fingerprint. */
  isHeldBy(tenant: string, fingerprint: string): boolean {
    const keys = this.byName.get(tenant)?.apiKeys ?? [];
    return keys.some((key) => this.fingerprintOf(key) === fingerprint);
  }
}
