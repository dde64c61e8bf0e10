/** Encodes and decodes attempts and results as messages between nodes; times become durations. */
import { Result } from 'true-myth';
import { z } from 'zod';
import type { AttemptResult, TargetAttempt } from '../core/attempt.js';
import { createFailure, type Failure } from '../core/failure.js';
import { isFinalStatus } from '../core/http-status.js';
import { CRITICALITIES } from '../core/request.js';
import { describeResultCode, ResultCode } from '../core/result-code.js';
import type { AttemptMessage, AttemptReply } from '../peer/messages.js';

const MAX_NAME_LENGTH = 256;
const MAX_PATH_LENGTH = 65_536;

const name = z.string().min(1).max(MAX_NAME_LENGTH);
const headerFields = z.array(z.tuple([z.string(), z.string()])).max(2_000);
const body = z.custom<Uint8Array>((value) => value instanceof Uint8Array, 'bytes');

const attemptMessageSchema = z.object({
  attemptId: name,
  target: name,
  requestId: name,
  tenant: name,
  service: name,
  kind: name,
  criticality: z.enum(CRITICALITIES),
  idempotent: z.boolean(),
  depth: z.int().min(0).max(1_000),
  deadlineInMs: z.number().max(3_600_000),
  notAfterInMs: z.number().optional(),
  attemptsGranted: z.int().min(1).max(255),
  method: name,
  path: z.string().min(1).max(MAX_PATH_LENGTH),
  headers: headerFields,
  body,
});

/** Checks a received attempt. */
export function validateAttemptMessage(value: unknown): Result<AttemptMessage, Failure> {
  return validateMessage<AttemptMessage>(value, attemptMessageSchema as z.ZodType<AttemptMessage>);
}

/** Checks a received message against its schema. */
export function validateMessage<T>(value: unknown, schema: z.ZodType<T>): Result<T, Failure> {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Result.ok(parsed.data);
  const [issue] = parsed.error.issues;
  const detail = `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`;
  return Result.err(createFailure(ResultCode.FrameMalformed, detail));
}

/** Encodes an attempt for another node. */
export function encodeAttempt(attempt: TargetAttempt, now: number): AttemptMessage {
  const { context, request, notAfter } = attempt;
  const message = {
    attemptId: attempt.attemptId,
    target: attempt.target,
    requestId: context.requestId,
    tenant: context.tenant,
    service: context.service,
    kind: context.kind,
    criticality: context.criticality,
    idempotent: context.idempotent,
    depth: context.depth,
    deadlineInMs: context.deadline - now,
    attemptsGranted: attempt.attemptsGranted,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
  };
  return notAfter === undefined ? message : { ...message, notAfterInMs: notAfter - now };
}

/**
 * Decodes an attempt from another node.
 *
 * @param now local monotonic time of arrival
 */
export function decodeAttempt(message: AttemptMessage, now: number): TargetAttempt {
  const { requestId, tenant, service, kind, criticality, idempotent, depth } = message;
  const deadline = now + message.deadlineInMs;
  const { method, path, headers, body: bytes, notAfterInMs } = message;
  const attempt = {
    attemptId: message.attemptId,
    target: message.target,
    context: { requestId, tenant, service, kind, criticality, idempotent, depth, deadline },
    request: { method, path, headers, body: bytes },
    attemptsGranted: message.attemptsGranted,
  };
  return notAfterInMs === undefined ? attempt : { ...attempt, notAfter: now + notAfterInMs };
}

/** Encodes the result of an attempt for the node that sent it. */
export function encodeResult(result: AttemptResult): AttemptReply {
  const { outcome, attemptsUsed } = result;
  const end = result.load === undefined ? {} : { load: result.load };
  if (result.type === 'answer') return { outcome, attemptsUsed, ...end, answer: result.answer };
  const { code, detail, execution, retryAfterMs } = result.failure;
  const base = { code, detail, execution };
  const failure = retryAfterMs === undefined ? base : { ...base, retryAfterMs };
  return { outcome, attemptsUsed, ...end, failure };
}

/** Decodes a result from another node. */
export function decodeResult(reply: AttemptReply): AttemptResult {
  const { outcome, attemptsUsed, answer, failure, load } = reply;
  const end = load === undefined ? { outcome, attemptsUsed } : { outcome, attemptsUsed, load };
  if (answer !== undefined && isFinalStatus(answer.status)) {
    return { type: 'answer', answer, ...end };
  }
  if (answer !== undefined) {
    // Nodes of earlier versions relay any number of three digits as a status.
    const detail = `the answer has no final status: ${answer.status}`;
    const failure = createFailure(ResultCode.AnswerIncomplete, detail);
    return { type: 'failure', failure, ...end, outcome: 'failed' };
  }
  if (failure === undefined) {
    const detail = 'the reply holds neither an answer nor a failure';
    return { type: 'failure', failure: createFailure(ResultCode.OutcomeUnknown, detail), ...end };
  }
  const { code, detail, execution, retryAfterMs } = failure;
  const known = describeResultCode(code).code;
  const options = retryAfterMs === undefined ? { execution } : { execution, retryAfterMs };
  return { type: 'failure', failure: createFailure(known, detail, options), ...end };
}
