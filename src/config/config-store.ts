/** The rules in force at a node: the newest accepted revision of each tenant, never an older one. */
import type { KindRules, Rules, ServiceRules, TargetRules } from './rules.js';

/** One accepted revision of one tenant's rules. */
export interface RevisionRecord {
  readonly tenant: string;
  /** Per tenant, counts from 1. */
  readonly revision: number;
  /** Position in the single order of all tenants' changes (the store's modRevision). */
  readonly version: number;
  /** `version` of the tenant's first revision (its key's createRevision); decides whose host it is. */
  readonly createdVersion?: number;
  /** Chosen by the operator's client; a retried apply with the same id is the same change. */
  readonly operationId: string;
  readonly author: string;
  /** Unix milliseconds at which the accepting node wrote it; for display only. */
  readonly acceptedAtMs: number;
  readonly rules: Rules;
}

/** Tenant, service and kind of a request. */
export interface Classification {
  readonly tenant: string;
  readonly service: ServiceRules;
  readonly kind: KindRules;
}

/** A target with its service. */
export interface LocatedTarget {
  readonly tenant: string;
  readonly service: ServiceRules;
  readonly target: TargetRules;
}

/** The rules in force. */
export interface ConfigStore {
  /** Stores a record unless the tenant has the same or a newer revision; returns whether it did. */
  offer(record: RevisionRecord): boolean;
  /** The newest record of each tenant, by tenant name. */
  records(): readonly RevisionRecord[];
  find(tenant: string): RevisionRecord | undefined;
  /** Highest `version` stored; 0 when empty. */
  readonly version: number;
  findServiceByHost(host: string): { tenant: string; service: ServiceRules } | undefined;
  findService(tenant: string, name: string): ServiceRules | undefined;
  /** Prefers the longest matching prefix, then a matching method over any method. */
  findKind(service: ServiceRules, method: string, path: string): KindRules | undefined;
  findTarget(targetId: string): LocatedTarget | undefined;
  /** Calls `listener` after each change; returns the unsubscribe function. */
  subscribe(listener: () => void): () => void;
}
