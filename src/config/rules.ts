/**
 * The operators' rules: services, targets and request kinds of one tenant.
 * Kept in the platform's key-value service; see docs/OPERATIONS.md for the text form.
 */
import type { Result } from 'true-myth';
import { z } from 'zod';
import type { Failure } from '../core/failure.js';
import { CRITICALITIES } from '../core/request.js';
import { ResultCode } from '../core/result-code.js';
import { parseAndValidate } from './parse-document.js';

/** Schema of a name of a node, zone, tenant, service or target. */
export const name = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, 1 to 63, letter first');

/** An IP address and port, `127.0.0.1:8080` or `[::1]:8080`. */
export const address = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    'an IP address and port, as 127.0.0.1:8080',
  );

/** Who may send a request: callers, other services' calls, or both. */
const entry = z.enum(['external', 'internal', 'both']);

const kindSchema = z.strictObject({
  name,
  match: z.strictObject({
    /** HTTP method; absent matches every method. */
    method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']).optional(),
    /** Path prefix; the longest matching prefix wins. */
    pathPrefix: z.string().startsWith('/').max(512),
  }),
  criticality: z.enum(CRITICALITIES),
  /** Milliseconds that a caller may wait. */
  deadlineMs: z.int().min(1).max(600_000),
  /** Bound on attempts for the whole call chain under one request of this kind. */
  attempts: z.int().min(1).max(255),
  /** Whether a request that may have run can be retried. */
  idempotent: z.boolean(),
  /**
   * Whether callers, other services, or both may send it; absent: as for the service. A kind
   * that is only part of a chain should be `internal`: a call of it that has lost its context
   * field is then refused instead of being taken for a new request with a new bound.
   */
  entry: entry.optional(),
  /** Largest request body in bytes. */
  maxRequestBytes: z.int().min(0).max(16_777_216).default(65_536),
  /** Largest answer body in bytes. */
  maxAnswerBytes: z.int().min(0).max(16_777_216).default(1_048_576),
});

const targetSchema = z.strictObject({ id: name, zone: name, address });

const serviceSchema = z.strictObject({
  name,
  /** Host field values under which callers reach the service. */
  hosts: z.array(z.string().min(1).max(253)).min(1).max(16),
  /** Whether callers, other services, or both may call it. */
  entry: entry.default('both'),
  /** Slots of one target as known to the operator: the initial concurrency limit. */
  slots: z.int().min(1).max(10_000),
  /** Connections that one target accepts: the upper bound of the limit. */
  connections: z.int().min(1).max(100_000),
  /** Services that its targets call. */
  calls: z.array(name).max(64).default([]),
  targets: z.array(targetSchema).min(1).max(1_000),
  kinds: z.array(kindSchema).min(1).max(64),
});

/** Schema of a rules document. */
export const rulesSchema = z
  .strictObject({
    apiVersion: z.literal('sillshore/v1'),
    tenant: name,
    services: z.array(serviceSchema).min(1).max(500),
  })
  .superRefine((rules, context) => {
    checkUnique(
      rules.services.map((service) => service.name),
      'services',
      'service name',
      context,
    );
    checkUnique(
      rules.services.flatMap((service) => service.hosts),
      'services',
      'host',
      context,
    );
    checkUnique(
      rules.services.flatMap((service) => service.targets.map((target) => target.id)),
      'services',
      'target id',
      context,
    );
    checkCalls(rules.services, context);
    for (const [index, service] of rules.services.entries()) {
      const kinds = service.kinds.map((kind) => kind.name);
      checkUnique(kinds, `services.${index}.kinds`, 'kind name', context);
    }
  });

/** One tenant's rules. */
export type Rules = z.infer<typeof rulesSchema>;
/** One service of the rules. */
export type ServiceRules = Rules['services'][number];
/** One request kind of a service. */
export type KindRules = ServiceRules['kinds'][number];
/** One target (back end) of a service. */
export type TargetRules = ServiceRules['targets'][number];

/** Parses and validates a rules document (YAML or JSON). */
export function parseRules(text: string): Result<Rules, Failure> {
  return parseAndValidate(text, rulesSchema, ResultCode.RulesInvalid);
}

function checkUnique(
  values: readonly string[],
  path: string,
  what: string,
  context: z.RefinementCtx,
): void {
  const seen = new Set<string>();
  for (const value of values) {
    if (seen.has(value)) {
      context.addIssue({
        code: 'custom',
        path: path.split('.'),
        message: `duplicate ${what} ${value}`,
      });
    }
    seen.add(value);
  }
}

function checkCalls(
  services: readonly { name: string; calls: string[] }[],
  context: z.RefinementCtx,
): void {
  const names = new Set(services.map((service) => service.name));
  for (const [index, service] of services.entries()) {
    for (const callee of service.calls) {
      if (!names.has(callee)) {
        const path = ['services', index, 'calls'];
        context.addIssue({ code: 'custom', path, message: `unknown service ${callee}` });
      }
    }
  }
}
