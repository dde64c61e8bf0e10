/**
 * Layout of the revisions in the platform's key-value service. Every key ends in `/`, so that
 * a read by prefix of one key finds no other. One transaction writes all four keys of a change:
 *
 * - `/sillshore/rules/current/<tenant>/`: the tenant's newest revision; the watched prefix
 * - `/sillshore/rules/history/<tenant>/<revision>/`: the same revision, retained
 * - `/sillshore/rules/operations/<tenant>/<operation id>/`: the revision that the operation made
 * - `/sillshore/rules/head/`: the last change of any tenant. Every change compares it, so that
 *   changes form one order, and a node that makes one has read all earlier ones.
 */
import { z } from 'zod';
import { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import type { KeyValue, PlatformClient } from '../etcd/platform-client.js';
import type { RevisionRecord } from './config-store.js';
import { rulesSchema } from './rules.js';

const ROOT = '/sillshore/rules';
/** Prefix of the newest revisions of all tenants. */
export const CURRENT_PREFIX = `${ROOT}/current/`;
/** Key of the last change. */
export const HEAD_KEY = `${ROOT}/head/`;
/** Digits of a revision in a key; keeps the history in order. */
const REVISION_DIGITS = 10;

/** Key of a tenant's newest revision. */
export function currentKey(tenant: string): string {
  return `${CURRENT_PREFIX}${tenant}/`;
}

/** Key of one retained revision. */
export function historyKey(tenant: string, revision: number): string {
  return `${ROOT}/history/${tenant}/${toDigits(revision)}/`;
}

/** Prefix of the ten retained revisions around `revision` that differ in its last digit only. */
export function historyBlockPrefix(tenant: string, revision: number): string {
  return `${ROOT}/history/${tenant}/${toDigits(revision).slice(0, -1)}`;
}

/** Key of an operation's result. */
export function operationKey(tenant: string, operationId: string): string {
  return `${ROOT}/operations/${tenant}/${operationId}/`;
}

/** A revision before the store has assigned its version. */
export type UnversionedRevision = Omit<RevisionRecord, 'version' | 'createdVersion'>;

const storedSchema = z.object({
  tenant: z.string(),
  revision: z.int().min(1),
  operationId: z.string(),
  author: z.string(),
  acceptedAtMs: z.number(),
  /** Absent in a tenant's first revision, where it equals that revision's own version. */
  createdVersion: z.int().optional(),
  rules: rulesSchema,
});

/** Schema of a record as it comes from a peer. */
export const revisionRecordSchema = storedSchema
  .extend({ version: z.int().min(1) })
  .transform(({ createdVersion, ...record }): RevisionRecord => ({
    ...record,
    ...(createdVersion !== undefined && { createdVersion }),
  }));

/** Text of a revision as stored; `createdVersion` is absent in a tenant's first one. */
export function encodeRevision(revision: UnversionedRevision, createdVersion?: number): string {
  return JSON.stringify({ ...revision, createdVersion });
}

/** Reads a stored revision; undefined when it cannot be read by this program. */
export function decodeRevision(keyValue: KeyValue): RevisionRecord | undefined {
  const parsed = storedSchema.safeParse(parseJson(keyValue.value));
  if (!parsed.success) return undefined;
  const { createdVersion = keyValue.modRevision, ...stored } = parsed.data;
  return { ...stored, version: keyValue.modRevision, createdVersion };
}

/** The newest revisions of all tenants at one moment. */
export interface RulesSnapshot {
  readonly records: readonly RevisionRecord[];
  /** Version of the newest change; 0 when there is none. */
  readonly version: number;
  /** The store's revision at the read; a watch continues from the next one. */
  readonly storeRevision: number;
  /** Keys whose value this program cannot read. */
  readonly unreadable: readonly string[];
}

/** Reads the newest revisions of all tenants; failures as for {@link PlatformClient.range}. */
export async function readSnapshot(
  platform: PlatformClient,
): Promise<Result<RulesSnapshot, Failure>> {
  const read = await platform.range(CURRENT_PREFIX);
  if (read.isErr) return Result.err(read.error);
  const { values, revision: storeRevision } = read.value;
  const records = values.flatMap((keyValue) => decodeRevision(keyValue) ?? []);
  const readable = new Set(records.map(({ tenant }) => currentKey(tenant)));
  const unreadable = values.map(({ key }) => key).filter((key) => !readable.has(key));
  const version = Math.max(0, ...values.map(({ modRevision }) => modRevision));
  return Result.ok({ records, version, storeRevision, unreadable });
}

function toDigits(revision: number): string {
  return String(revision).padStart(REVISION_DIGITS, '0');
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
