/**
 * The workload document of an example: the requests of the callers and the service times and
 * downstream calls of the back ends. Only the stand-ins read it; a node never does.
 */
import type { Result } from 'true-myth';
import { z } from 'zod';
import { parseAndValidate } from '../config/document.js';
import type { Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';

const method = z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']);
const path = z.string().startsWith('/').max(512);
const requestMatch = z.strictObject({ method: method.optional(), pathPrefix: path.optional() });
const serviceMs = z.number().min(0.1).max(600_000);
const sigma = z.number().min(0).max(3);

/** Schema of a downstream call. */
export const downstreamCallSchema = z.strictObject({
  on: requestMatch.prefault({}),
  service: z.string().min(1),
  host: z.string().min(1),
  method,
  path,
});

/** Schema of a service time that applies to some requests. */
export const workRuleSchema = z.strictObject({ on: requestMatch, serviceMs, sigma });

const streamSchema = z.strictObject({
  /** Kind in the rules to which the requests belong; groups the results. */
  kind: z.string().min(1),
  service: z.string().min(1),
  host: z.string().min(1),
  method,
  path,
  /** Mean rate of the Poisson arrivals. */
  ratePerSecond: z.number().min(0).max(10_000),
  bodyBytes: z.int().min(0).max(1_048_576).default(0),
  /** Time limit of the caller in milliseconds, over all its attempts. */
  patienceMs: z.int().min(1).max(600_000),
  /** Whether requests have an Idempotency-Key. */
  requestId: z.boolean().default(true),
});

const backendSchema = z.strictObject({
  service: z.string().min(1),
  serviceMs,
  sigma: sigma.default(0.3),
  answerBytes: z.int().min(0).max(1_048_576).default(256),
  work: z.array(workRuleSchema).max(64).default([]),
  calls: z.array(downstreamCallSchema).max(64).default([]),
});

/** Schema of a workload document. */
export const workloadSchema = z.strictObject({
  apiVersion: z.literal('sillshore-workload/v1'),
  tenant: z.string().min(1),
  /** Requests with which the demo measures the added latency; see docs/EXPERIMENTS.md. */
  probe: streamSchema,
  streams: z.array(streamSchema).min(1).max(64),
  backends: z.array(backendSchema).min(1).max(500),
});

/** Workload of an example's callers and back ends. */
export type Workload = z.infer<typeof workloadSchema>;
/** One stream of requests. */
export type Stream = Workload['streams'][number];
/** Service times and downstream calls of the back ends of one service. */
export type BackendWorkload = Workload['backends'][number];

/** Parses and validates a workload document (YAML or JSON). */
export function parseWorkload(text: string): Result<Workload, Failure> {
  return parseAndValidate(text, workloadSchema, ResultCode.InvalidField);
}
