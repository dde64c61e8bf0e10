/** Messages of the claim protocol between coordinators and replicas. */
import { Result } from 'true-myth';
import { z } from 'zod';
import { MAX_GROUPS } from '../core/claim/claim-groups.js';
import type { PlacementRecord } from '../core/claim/placement.js';
import type { TableSnapshot } from '../core/claim/claim-table.js';
import type { ReplicaReply, ReplicaRequest } from '../core/claim/replica-messages.js';
import type { Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { TransferRef } from './table-transfers.js';
import { validateValue } from '../config/validate-value.js';

/** Request and reply type of each claim call. */
export interface ClaimCalls {
  /** One request to the claim replica of a node. */
  claimReplica: { request: ReplicaCall; reply: ReplicaCallReply };
  /** Fetches a page of a table that did not fit into a reply. */
  claimPage: { request: PageRequest; reply: PageReply };
  /** Sends a page of a table before the request that needs it. */
  claimStage: { request: StageRequest; reply: Record<string, never> };
  /** Requests the number of groups and newer placement records. */
  claimRecords: { request: RecordsRequest; reply: RecordsReply };
}

/** A request; `staged` identifies the pages of its table that were sent before it, if any. */
export interface ReplicaCall {
  readonly group: number;
  readonly request: ReplicaRequest;
  readonly staged?: TransferRef;
}

/** A reply; `rest` identifies the table when the reply holds only its first page. */
export interface ReplicaCallReply {
  readonly reply: ReplicaReply;
  readonly rest?: TransferRef;
}

/** Identifies one page of a table in transfer. */
export interface PageRequest {
  readonly group: number;
  readonly transferId: string;
  readonly page: number;
}

/** A page; `table` is absent when the page is no longer kept. */
export interface PageReply {
  readonly table?: TableSnapshot;
}

/** The number of groups and the epochs that the requesting node knows. */
export interface RecordsRequest {
  /** Number of groups; 0 when unknown. */
  readonly groups: number;
  /** Newest known epoch of each group; 0 when unknown. */
  readonly epochs: readonly number[];
}

/** The number of groups, and the records that are newer than those of the requesting node. */
export interface RecordsReply {
  /** Number of groups; 0 when unknown. */
  readonly groups: number;
  readonly records: readonly { readonly group: number; readonly record: PlacementRecord }[];
}

/** One page of a table in transfer. */
export interface StageRequest extends PageRequest {
  readonly table: TableSnapshot;
}

const MAX_SLOTS = 255;
const MAX_PAGES = 4_096;
const MAX_RIVALS = 8;

const text = z.string().max(1_024);
const count = z.int().min(0);
const groupIndex = z
  .int()
  .min(0)
  .max(MAX_GROUPS - 1);
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

const transfer = z.object({ transferId: text, pages: z.int().min(1).max(MAX_PAGES) });
const pageRequest = z.object({
  group: groupIndex,
  transferId: text,
  page: z.int().min(0).max(MAX_PAGES),
});

const recordsSchema: z.ZodType<RecordsRequest> = z.object({
  groups: z.int().min(0).max(MAX_GROUPS),
  epochs: z.array(count).max(MAX_GROUPS),
});
const layoutSchema = z.object({ groups: z.int().min(1).max(MAX_GROUPS) });

const callSchema: z.ZodType<ReplicaCall> = z.object({
  group: groupIndex,
  request: requestSchema,
  staged: transfer.exactOptional(),
});
const pageSchema: z.ZodType<PageRequest> = pageRequest;
const stageSchema: z.ZodType<StageRequest> = pageRequest.extend({ table });

/** Checks a received request. */
export function validateReplicaCall(body: unknown): Result<ReplicaCall, Failure> {
  return validateValue(body, callSchema, ResultCode.FrameMalformed);
}

/** Checks a received request for a page. */
export function validatePageRequest(body: unknown): Result<PageRequest, Failure> {
  return validateValue(body, pageSchema, ResultCode.FrameMalformed);
}

/** Checks a received page. */
export function validateStageRequest(body: unknown): Result<StageRequest, Failure> {
  return validateValue(body, stageSchema, ResultCode.FrameMalformed);
}

/** Checks a received request for records. */
export function validateRecordsRequest(body: unknown): Result<RecordsRequest, Failure> {
  return validateValue(body, recordsSchema, ResultCode.FrameMalformed);
}

/** Checks a layout record read from the platform. */
export function validateLayout(value: unknown): Result<{ readonly groups: number }, Failure> {
  return validateValue(value, layoutSchema, ResultCode.FrameMalformed);
}

/** Checks a placement record read from the platform. */
export function validatePlacement(value: unknown): Result<z.infer<typeof record>, Failure> {
  return validateValue(value, recordSchema, ResultCode.FrameMalformed);
}
