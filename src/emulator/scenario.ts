/**
 * Scenario files of experiments: YAML or JSON. Unknown fields are rejected, and all errors are
 * reported at once.
 */
import type { Result } from 'true-myth';
import { z } from 'zod';
import { parseAndValidate } from '../config/parse-document.js';
import { validateValue } from '../config/validate-value.js';
import { listOverloadPolicies } from '../core/overload-policy-registry.js';
import './policies.js';
import type { Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { ONE_PER_TARGET, type Deployment } from './deployment.js';
import { EXAMPLE_NAMES, readExampleDeployment } from './example-deployments.js';
import { createSyntheticFleet } from './synthetic-fleet.js';

const MAX_DURATION_MS = 600_000;
const timeSchema = z.number().min(0).max(MAX_DURATION_MS);
const nameSchema = z.string().min(1).max(63);
const periodFields = { fromMs: timeSchema, toMs: timeSchema };

const syntheticSchema = z.strictObject({
  targets: z.int().min(1).max(1_000),
  services: z.int().min(1).max(80),
  zones: z.int().min(1).max(7),
  regions: z.int().min(1).max(2).default(1),
  /** Number of services on the longest chain. */
  depth: z.int().min(1).max(9),
  kinds: z.int().min(1).max(16).default(4),
  /** Number of calls that each back end of the chain makes. */
  fanOut: z.int().min(1).max(3).default(1),
  seed: z.int().min(0).default(1),
});

/** Parameters of a synthetic fleet. */
export type SyntheticFleetOptions = z.infer<typeof syntheticSchema>;

const deploymentSchema = z.union([
  z.enum(EXAMPLE_NAMES as [string, ...string[]]),
  z.strictObject({ synthetic: syntheticSchema }),
]);

const loadSchema = z.strictObject({
  /** Multiple of the deployment's capacity at the kinds' own mix. */
  multiple: z.number().min(0).max(100).default(0.7),
  /** Relative rates of the kinds, in place of the deployment's own; kinds left out are not sent. */
  mix: z.record(nameSchema, z.number().min(0).max(1_000_000)).optional(),
  /** Requests per second by kind, in place of the multiple. */
  ratesPerSecond: z.record(nameSchema, z.number().min(0).max(200_000)).optional(),
  /**
   * Periods with a different load; `multiple` is a factor on `ratesPerSecond` when these are given.
   */
  surges: z
    .array(z.strictObject({ ...periodFields, multiple: z.number().min(0).max(100) }))
    .max(16)
    .default([]),
});

const callersSchema = z.strictObject({
  tries: z.int().min(1).max(50).default(1),
  tryTimeoutShare: z.number().min(0.01).max(1).default(1),
  backoffMs: z.number().min(0).max(60_000).default(10),
  honoursRetryAfter: z.boolean().default(false),
  failoverMs: z.number().min(0).max(60_000).default(300),
});

const targetFields = { service: nameSchema, target: nameSchema.optional() };

const faultSchema = z.discriminatedUnion('type', [
  /** Multiplies the service time by `factor`. */
  z.strictObject({
    type: z.literal('slow'),
    ...targetFields,
    ...periodFields,
    factor: z.number().min(0.01).max(1_000),
  }),
  /** Processes crash at `fromMs` and restart cold at `toMs`. */
  z.strictObject({
    type: z.literal('death'),
    ...targetFields,
    ...periodFields,
    coldFactor: z.number().min(1).max(100).default(3),
    warmUpMs: z.number().min(0).max(60_000).default(2_000),
  }),
  /**
   * Planned drain: targets announce it at `fromMs`, refuse new work `graceMs` later, finish what is
   * running and restart cold at `toMs`.
   */
  z.strictObject({
    type: z.literal('drain'),
    ...targetFields,
    ...periodFields,
    /** Time for which a leaving back end still accepts work. */
    graceMs: z.number().min(0).max(60_000).default(0),
    coldFactor: z.number().min(1).max(100).default(3),
    warmUpMs: z.number().min(0).max(60_000).default(2_000),
  }),
  /** The back end itself refuses requests while its queue is at least `queueAbove` long. */
  z.strictObject({
    type: z.literal('shedding'),
    ...targetFields,
    ...periodFields,
    queueAbove: z.int().min(0).max(10_000),
  }),
  /** All nodes and targets of a zone disappear without notice. */
  z.strictObject({
    type: z.literal('zone-loss'),
    zone: nameSchema,
    ...periodFields,
    coldFactor: z.number().min(1).max(100).default(3),
    warmUpMs: z.number().min(0).max(60_000).default(2_000),
  }),
  /** The list of machines is not updated. */
  z.strictObject({ type: z.literal('platform-outage'), ...periodFields }),
  /**
   * Wrong health: a `looks-healthy` target resets a share of the connections at once but counts as
   * healthy; a `looks-down` target works but counts as down.
   */
  z.strictObject({
    type: z.literal('misleading-health'),
    ...targetFields,
    ...periodFields,
    mode: z.enum(['looks-healthy', 'looks-down']),
    resetShare: z.number().min(0).max(1).default(0.8),
  }),
  /** A share of the requests runs, but the connection is reset instead of an answer. */
  z.strictObject({
    type: z.literal('lost-answers'),
    ...targetFields,
    ...periodFields,
    share: z.number().min(0).max(1).default(0.4),
  }),
  /** Answers state the requests a second that the target takes from all nodes together. */
  z.strictObject({
    type: z.literal('stated-limit'),
    ...targetFields,
    ...periodFields,
    requestsPerSecond: z.number().min(0).max(1_000_000),
  }),
]);

/** One fault with its period. */
export type Fault = z.infer<typeof faultSchema>;

const scenarioSchema = z
  .strictObject({
    apiVersion: z.literal('sillshore/v1'),
    name: z.string().regex(/^[a-z][a-z0-9-]{0,62}$/),
    description: z.string().max(1_000).default(''),
    deployment: deploymentSchema,
    nodesPerZone: z.union([z.int().min(1).max(200), z.literal(ONE_PER_TARGET)]).default(1),
    /** Whether each node uses a subset of the targets of a large service, as sidecars do. */
    subsets: z.boolean().default(false),
    durationMs: z.number().min(100).max(MAX_DURATION_MS),
    /** Requests sent before this time are not counted. */
    warmUpMs: timeSchema.default(2_000),
    seeds: z.array(z.int().min(0).max(2_147_483_647)).min(1).max(100).default([1, 2, 3, 4, 5]),
    policies: z.array(nameSchema).min(1).max(16),
    load: loadSchema,
    callers: callersSchema.default(callersSchema.parse({})),
    faults: z.array(faultSchema).max(64).default([]),
    /** Delay of the list of machines, in milliseconds. */
    machineListLagMs: z.number().min(0).max(60_000).default(10_000),
    /** Time until the nodes agree that a node or zone is lost, in milliseconds. */
    failureDetectionMs: z.number().min(0).max(60_000).default(1_000),
    /** Time until other nodes learn that a target is leaving, in milliseconds. */
    gossipMs: z.number().min(0).max(60_000).default(500),
  })
  .superRefine(checkReferences);

/** A validated scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;

/** Parses and validates a scenario file. */
export function parseScenario(text: string): Result<Scenario, Failure> {
  return parseAndValidate(text, scenarioSchema, ResultCode.ScenarioInvalid);
}

/** Validates a scenario that was changed after it was read. */
export function validateScenario(value: unknown): Result<Scenario, Failure> {
  return validateValue(value, scenarioSchema, ResultCode.ScenarioInvalid);
}

/** Builds the deployment that a scenario names. */
export function resolveDeployment(
  scenario: Pick<Scenario, 'deployment' | 'nodesPerZone' | 'subsets' | 'load'>,
): Deployment {
  const base =
    typeof scenario.deployment === 'string'
      ? readExampleDeployment(scenario.deployment)
      : createSyntheticFleet(scenario.deployment.synthetic);
  const { mix } = scenario.load;
  const kinds = base.kinds.map((kind) => (mix ? { ...kind, share: mix[kind.name] ?? 0 } : kind));
  return { ...base, kinds, nodesPerZone: scenario.nodesPerZone, subsets: scenario.subsets };
}

interface Issue {
  readonly path: (string | number)[];
  readonly message: string;
}

function checkReferences(scenario: Scenario, context: z.RefinementCtx): void {
  const deployment = resolveDeployment(scenario);
  const issues = [
    ...checkPolicies(scenario),
    ...checkLoadKinds(scenario, deployment),
    ...checkPeriods(scenario),
    ...scenario.faults.flatMap((fault, index) => checkFault(fault, index, deployment)),
  ];
  for (const { path, message } of issues) context.addIssue({ code: 'custom', path, message });
}

function checkPolicies(scenario: Scenario): Issue[] {
  const known = listOverloadPolicies();
  return scenario.policies.flatMap((name, index) =>
    known.includes(name)
      ? []
      : [
          {
            path: ['policies', index],
            message: `unknown policy ${name}; known: ${known.join(', ')}`,
          },
        ],
  );
}

function checkLoadKinds(scenario: Scenario, deployment: Deployment): Issue[] {
  const kinds = deployment.kinds.map(({ name }) => name);
  const message = `unknown kind; known: ${kinds.join(', ')}`;
  return (['mix', 'ratesPerSecond'] as const).flatMap((member) =>
    Object.keys(scenario.load[member] ?? {})
      .filter((name) => !kinds.includes(name))
      .map((name) => ({ path: ['load', member, name], message })),
  );
}

function checkPeriods(scenario: Scenario): Issue[] {
  const issues: Issue[] = [];
  if (scenario.warmUpMs >= scenario.durationMs) {
    issues.push({ path: ['warmUpMs'], message: 'must be less than durationMs' });
  }
  const check = (path: string, list: readonly { fromMs: number; toMs: number }[]) => {
    for (const [index, { fromMs, toMs }] of list.entries()) {
      if (toMs > fromMs) continue;
      const parts = path.split('.');
      issues.push({ path: [...parts, index, 'toMs'], message: 'must be greater than fromMs' });
    }
  };
  check('load.surges', scenario.load.surges);
  check('faults', scenario.faults);
  return issues;
}

function checkFault(fault: Fault, index: number, deployment: Deployment): Issue[] {
  if (fault.type === 'platform-outage') return [];
  if (fault.type === 'zone-loss') {
    const known = deployment.zones.some(({ name }) => name === fault.zone);
    return known
      ? []
      : [{ path: ['faults', index, 'zone'], message: `unknown zone ${fault.zone}` }];
  }
  const service = deployment.services.find(({ name }) => name === fault.service);
  if (service === undefined) {
    return [{ path: ['faults', index, 'service'], message: `unknown service ${fault.service}` }];
  }
  const known = fault.target === undefined || service.targets.some(({ id }) => id === fault.target);
  const message = `service ${fault.service} has no target ${fault.target ?? ''}`;
  return known ? [] : [{ path: ['faults', index, 'target'], message }];
}
