/** Calls of the membership protocol over peer links, and the validation of their bodies. */
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import type { MemberFacts } from '../core/member.js';
import type { MemberUpdate } from '../core/membership/member-update.js';
import type { MemberSyncReply, MemberSyncRequest } from '../core/membership/membership-message.js';
import { ResultCode } from '../core/result-code.js';

/** Requests facts that were too large for a datagram. */
export interface MemberFetchRequest {
  readonly nodeIds: readonly string[];
}

/** Facts of those requested members that the replying node knows. */
export interface MemberFetchReply {
  readonly updates: readonly MemberUpdate[];
}

/** Request and reply type of each membership call. */
export interface MembershipCalls {
  /** Compares and exchanges full state, one page at a time. */
  memberSync: { request: MemberSyncRequest; reply: MemberSyncReply };
  memberFetch: { request: MemberFetchRequest; reply: MemberFetchReply };
}

const MAX_TEXT_LENGTH = 128;
const MAX_LIST_LENGTH = 1_000;
const MAX_UPDATES = 1_000;
/** Printable ASCII without spaces: names, IP addresses and ports. */
const PRINTABLE_ASCII = /^[\x21-\x7e]*$/;

/** Whether a value is well-formed as a name or an address; may be empty. */
export function isText(value: unknown): value is string {
  return (
    typeof value === 'string' && value.length <= MAX_TEXT_LENGTH && PRINTABLE_ASCII.test(value)
  );
}

/** Whether a value is a non-negative integer. */
export function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isTextList(value: unknown): boolean {
  return Array.isArray(value) && value.length <= MAX_LIST_LENGTH && value.every(isText);
}

function isFacts(value: unknown): value is MemberFacts {
  if (typeof value !== 'object' || value === null) return false;
  const facts = value as Record<keyof MemberFacts, unknown>;
  return (
    isText(facts.nodeId) &&
    facts.nodeId !== '' &&
    isCount(facts.incarnation) &&
    isCount(facts.sequence) &&
    isText(facts.zone) &&
    isText(facts.region) &&
    isText(facts.peerAddress) &&
    isText(facts.entryAddress) &&
    isText(facts.adminAddress) &&
    isTextList(facts.fronts) &&
    isTextList(facts.leavingTargets) &&
    isCount(facts.configVersion) &&
    typeof facts.ready === 'boolean'
  );
}

/** Whether a received value is a well-formed update. */
export function isMemberUpdate(value: unknown): value is MemberUpdate {
  if (typeof value !== 'object' || value === null) return false;
  const update = value as Record<string, unknown>;
  const { type, nodeId, incarnation, sequence, from, configVersion } = update;
  if (type === 'facts') return typeof update['leaving'] === 'boolean' && isFacts(update['facts']);
  if (!isText(nodeId) || !isCount(incarnation)) return false;
  if (type === 'version') return isCount(configVersion);
  if (!isCount(sequence)) return false;
  return type === 'notice' || type === 'failed' || (type === 'suspect' && isText(from));
}

function isUpdateList(value: unknown): value is MemberUpdate[] {
  return Array.isArray(value) && value.length <= MAX_UPDATES && value.every(isMemberUpdate);
}

/** Validates the body of a `memberSync` request. */
export function validateSyncRequest(body: unknown): Result<MemberSyncRequest, Failure> {
  const { hashes, after, updates } = (body ?? {}) as Record<string, unknown>;
  const isHashList = Array.isArray(hashes) && hashes.every((hash) => Number.isInteger(hash));
  if (!isHashList || !isText(after) || !isUpdateList(updates)) return malformed('memberSync');
  return Result.ok({ hashes: hashes as number[], after, updates });
}

/** Validates the body of a `memberSync` reply. */
export function validateSyncReply(body: unknown): Result<MemberSyncReply, Failure> {
  const { buckets, updates, next } = (body ?? {}) as Record<string, unknown>;
  const isBucketList = Array.isArray(buckets) && buckets.every(isCount);
  if (!isBucketList || !isUpdateList(updates) || !isText(next)) return malformed('memberSync');
  return Result.ok({ buckets: buckets as number[], updates, next });
}

/** Validates the body of a `memberFetch` request. */
export function validateFetchRequest(body: unknown): Result<MemberFetchRequest, Failure> {
  const { nodeIds } = (body ?? {}) as Record<string, unknown>;
  if (!isTextList(nodeIds)) return malformed('memberFetch');
  return Result.ok({ nodeIds: nodeIds as string[] });
}

/** Validates the body of a `memberFetch` reply. */
export function validateFetchReply(body: unknown): Result<MemberFetchReply, Failure> {
  const { updates } = (body ?? {}) as Record<string, unknown>;
  if (!isUpdateList(updates)) return malformed('memberFetch');
  return Result.ok({ updates });
}

function malformed(name: string): Result<never, Failure> {
  return Result.err(createFailure(ResultCode.FrameMalformed, `malformed ${name}`));
}
