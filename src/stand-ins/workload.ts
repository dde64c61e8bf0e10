/**
 * The workload document of an example: what the callers ask for and how the back ends work.
 * It describes the stand-ins only; a node never reads it.
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

/** Schema of a call on to the next service. */
export const downstreamCallSchema = z.strictObject({
  on: requestMatch.prefault({}),
  service: z.string().min(1),
  host: z.string().min(1),
  method,
  path,
});

/** Schema of a service time for some requests. */
export const workRuleSchema = z.strictObject({ on: requestMatch, serviceMs, sigma });

const streamSchema = z.strictObject({
  /** Kind of the rules that the requests belong to; for the tables. */
  kind: z.string().min(1),
  service: z.string().min(1),
  host: z.string().min(1),
  method,
  path,
  /** Mean of the Poisson arrivals. */
  ratePerSecond: z.number().min(0).max(10_000),
  bodyBytes: z.int().min(0).max(1_048_576).default(0),
  /** Milliseconds that the caller waits over all its repeats. */
  patienceMs: z.int().min(1).max(600_000),
  /** Whether requests carry an Idempotency-Key. */
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
  /** Requests by which the demo measures the added latency; see docs/EXPERIMENTS.md. */
  probe: streamSchema,
  streams: z.array(streamSchema).min(1).max(64),
  backends: z.array(backendSchema).min(1).max(500),
});

/** What an example's callers and back ends do. */
export type Workload = z.infer<typeof workloadSchema>;
/** One stream of requests. */
export type Stream = Workload['streams'][number];
/** How the back ends of one service work. */
export type BackendWorkload = Workload['backends'][number];

/** Parses and validates a workload document (YAML or JSON). */
export function parseWorkload(text: string): Result<Workload, Failure> {
  return parseAndValidate(text, workloadSchema, ResultCode.InvalidField);
}
