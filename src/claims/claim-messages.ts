/** Messages of the claim protocol between coordinators and replicas. */
import { Result } from 'true-myth';
import { z } from 'zod';
import type { ReplicaReply, ReplicaRequest } from '../core/claim/replica-messages.js';
import type { Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { validateValue } from '../config/document.js';

/** Request and reply type of each claim call. */
export interface ClaimCalls {
  /** One request to the claim replica of a node. */
  claimReplica: { request: ReplicaRequest; reply: ReplicaReply };
}

const MAX_SLOTS = 255;
const MAX_RIVALS = 8;

const text = z.string().max(1_024);
const count = z.int().min(0);
const incarnation = z.object({ nodeId: text, incarnation: count });
const ballot = z.object({ round: count, nodeId: text });
const record = z.object({
  epoch: z.int().min(1),
  members: z.array(incarnation).min(1).max(9),
  fresh: z.boolean(),
  floorMs: count,
});
const answer = z.object({
  status: z.int().min(100).max(999),
  headers: z.array(z.tuple([z.string(), z.string()])),
  body: z.instanceof(Uint8Array),
});
const subject = z.object({
  key: text,
  issuedAtMs: count,
  fingerprint: text,
  attemptId: text,
});
const claimEntry = subject.extend({
  phase: z.enum(['held', 'finished', 'conflict']),
  rivals: z.array(text).max(MAX_RIVALS).exactOptional(),
  answer: answer.exactOptional(),
});
const budgetEntry = z.object({
  key: text,
  slots: z.array(text).max(MAX_SLOTS),
  createdAtMs: count,
});
const charge = z.object({
  key: text,
  chargeId: text,
  wanted: z.int().min(1).max(MAX_SLOTS),
  bound: z.int().min(1).max(MAX_SLOTS),
});
const table = z.object({ claims: z.array(claimEntry), budgets: z.array(budgetEntry) });

const requestSchema: z.ZodType<ReplicaRequest> = z.discriminatedUnion('type', [
  z.object({ type: z.literal('claim'), epoch: count, subject }),
  z.object({ type: z.literal('release'), epoch: count, key: text, attemptId: text }),
  z.object({ type: z.literal('finish'), epoch: count, subject, answer: answer.exactOptional() }),
  z.object({ type: z.literal('charge'), epoch: count, charge }),
  z.object({
    type: z.literal('give-back'),
    epoch: count,
    key: text,
    chargeId: text,
    unused: z.array(count).max(MAX_SLOTS),
  }),
  z.object({ type: z.literal('recover'), epoch: count, nodeId: text, incarnation: count }),
  z.object({ type: z.literal('prepare'), epoch: count, ballot }),
  z.object({ type: z.literal('accept'), epoch: count, ballot, successor: record }),
  z.object({ type: z.literal('install'), record, table }),
  z.object({ type: z.literal('establish'), record }),
  z.object({ type: z.literal('status') }),
]);

const recordSchema: z.ZodType<z.infer<typeof record>> = record;

/** Checks a received request. */
export function validateReplicaRequest(body: unknown): Result<ReplicaRequest, Failure> {
  return validateValue(body, requestSchema, ResultCode.FrameMalformed);
}

/** Checks a placement record read from the platform. */
export function validatePlacement(value: unknown): Result<z.infer<typeof record>, Failure> {
  return validateValue(value, recordSchema, ResultCode.FrameMalformed);
}
