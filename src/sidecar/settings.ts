/** Settings of a sidecar: a node that runs with one target on the target's machine. */
import type { Result } from 'true-myth';
import { z } from 'zod';
import { validateValue } from '../config/validate-value.js';
import { parseDuration } from '../core/duration.js';
import type { Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';

const name = z.string().min(1).max(200);
const address = z
  .string()
  .regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    'expected an IP address and port, for example 127.0.0.1:8080',
  );

/** A duration, for example `1500ms` or `2s`; parsed to milliseconds. */
const duration = z.string().transform((text, context) => {
  const milliseconds = parseDuration(text);
  if (milliseconds !== undefined) return milliseconds;
  context.addIssue({ code: 'custom', message: 'expected a duration, for example 1500ms or 2s' });
  return z.NEVER;
});

/** Defaults of bounds that the settings omit. */
const DEFAULT_BOUNDS = {
  gracePeriod: '6s',
  retryRatio: 0.1,
  retryWindow: '10s',
  retrySlack: 0,
  refuseUncheckedKeys: false,
  quotaWindow: '5s',
  quotaOvershoot: 0.1,
  quotaSlack: 0,
};

/** Default of `listen.bindTimeout`. */
const DEFAULT_BIND_TIMEOUT = '120s';

/** Defaults of limits that the settings omit. */
const DEFAULT_LIMITS = {
  fileDescriptors: 4_096,
  requestsAhead: 64,
  openRequests: 8_192,
  answerReadTimeout: '30s',
  targetAnswerMb: 32,
  storeAnswerMb: 4,
  storeAnswerValues: 200_000,
  storeListingMb: 16,
  answerOverheadMb: 1,
};

/** A member that gets a default when it is absent or null. */
function orDefault<T extends z.ZodType>(schema: T, value: z.input<T>): z.ZodType<z.output<T>> {
  return z.preprocess((given) => given ?? value, schema);
}

/** Whether a part of the load control is on. */
const loadControlMode = z.enum(['auto', 'off']).default('auto');

const settingsSchema = z.object({
  node: z.object({ id: name, zone: name, region: z.string().max(200).default('') }),
  listen: z.object({
    /** Receives the requests of callers and of the local target. */
    entry: address,
    /** Answers the platform's check whether this node accepts requests. */
    readiness: address,
    /** Receives the reports of the local target. */
    registration: address,
    /** Serves the metrics at /metrics; absent: they are not served. */
    metrics: address.optional(),
    /** IP address for messages between nodes. */
    host: z.string().min(1),
    /** First and last port of the range for messages between nodes. */
    ports: z.tuple([z.int().min(0).max(65_535), z.int().min(0).max(65_535)]),
    /** Time for which a port that is taken at the start is tried again. */
    bindTimeout: orDefault(duration, DEFAULT_BIND_TIMEOUT),
    /** Where other nodes reach this one, for example behind a relay; absent: `host` and the first port. */
    advertised: address.optional(),
  }),
  /** The local target. */
  target: z.object({ service: name, address }),
  store: z.object({ address }),
  limits: z.object({
    /** Memory limit of the process, in MB. */
    memoryMb: z.number().min(32).default(256),
    /** Descriptors that the process may have open; shares of them bound the connections of each port. */
    fileDescriptors: orDefault(z.int().min(100), DEFAULT_LIMITS.fileDescriptors),
    /** Requests that a client may send on one connection before the first of them is answered. */
    requestsAhead: orDefault(z.int().min(1), DEFAULT_LIMITS.requestsAhead),
    /** Unanswered requests of all clients of a port; requests sent ahead may be a quarter of them. */
    openRequests: orDefault(z.int().min(16), DEFAULT_LIMITS.openRequests),
    /** Time within which a client must read an answer. */
    answerReadTimeout: orDefault(duration, DEFAULT_LIMITS.answerReadTimeout),
    /** Longest body of an answer of the target, in MB. */
    targetAnswerMb: orDefault(z.number().positive(), DEFAULT_LIMITS.targetAnswerMb),
    /** Longest body of an answer of the store, in MB. */
    storeAnswerMb: orDefault(z.number().positive(), DEFAULT_LIMITS.storeAnswerMb),
    /** Values in the JSON document of an answer of the store; each takes some ten bytes of the heap. */
    storeAnswerValues: orDefault(z.int().min(1), DEFAULT_LIMITS.storeAnswerValues),
    /** Longest listing of the store over all its pages, in MB. */
    storeListingMb: orDefault(z.number().positive(), DEFAULT_LIMITS.storeListingMb),
    /** What an answer may have beside its body and twice its bytes, in MB. */
    answerOverheadMb: orDefault(z.number().positive(), DEFAULT_LIMITS.answerOverheadMb),
  }),
  bounds: z.object({
    /** Time from SIGTERM to SIGKILL. */
    gracePeriod: orDefault(duration, DEFAULT_BOUNDS.gracePeriod),
    /** Retries that a service may receive, as a share of its requests. */
    retryRatio: orDefault(z.number().min(0), DEFAULT_BOUNDS.retryRatio),
    /** Window over which the share is measured. */
    retryWindow: orDefault(duration, DEFAULT_BOUNDS.retryWindow),
    /** Retries allowed beyond the share, over all nodes. */
    retrySlack: orDefault(z.number().min(0), DEFAULT_BOUNDS.retrySlack),
    /**
     * Time after which no node runs a request with a revoked API key; absent: nodes that receive no
     * changes continue with the keys that they know.
     */
    keyRevocation: duration.nullish(),
    /** Whether `keyRevocation` also applies to nodes that receive no changes. */
    refuseUncheckedKeys: orDefault(z.boolean(), DEFAULT_BOUNDS.refuseUncheckedKeys),
    /** Window over which the requests of a tenant are compared with its limit. */
    quotaWindow: orDefault(duration, DEFAULT_BOUNDS.quotaWindow),
    /** Requests allowed beyond a limit in a window, as a share of the requests that the limit allows. */
    quotaOvershoot: orDefault(z.number().min(0), DEFAULT_BOUNDS.quotaOvershoot),
    /** The same as a number of requests. */
    quotaSlack: orDefault(z.number().min(0), DEFAULT_BOUNDS.quotaSlack),
  }),
  /** Load control that depends on the fleet or on what targets state; `off` switches a part off. */
  loadControl: z
    .object({
      /** Admission shares over all nodes; `auto`: in fleets in which a node sees few requests of a service. */
      sharedAdmission: loadControlMode,
      /** Queueing by objective; `auto`: for a target that states how slow its machine is. */
      objectiveQueue: loadControlMode,
      /** Routing by stated slowdown and learnt speed; `auto`: for targets that state how slow they are. */
      statedLoad: loadControlMode,
    })
    .default({ sharedAdmission: 'auto', objectiveQueue: 'auto', statedLoad: 'auto' }),
  log: z
    .object({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      /** Maximum lines per second, not counting errors. */
      maxLinesPerSecond: z.int().min(1).default(50),
    })
    .default({ level: 'info', maxLinesPerSecond: 50 }),
});

/** Settings of one sidecar; every address is an IP address and port. */
export type SidecarSettings = z.infer<typeof settingsSchema>;

/** Validates settings; fails with 4004 and every violation. */
export function validateSidecarSettings(value: unknown): Result<SidecarSettings, Failure> {
  return validateValue(value, settingsSchema, ResultCode.SettingsInvalid);
}
