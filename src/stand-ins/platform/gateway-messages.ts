/**
 * Messages of the etcd v3 JSON gateway: byte strings are base64, 64-bit numbers are strings,
 * members with zero values are omitted, and names are accepted in snake case and camel case.
 */
import { z } from 'zod';
import type {
  KeyRange,
  OperationResult,
  StoreCompare,
  StoredValue,
  StoreEvent,
  StoreOperation,
} from './key-value-store.js';

const bytes = z.base64().transform((text) => Buffer.from(text, 'base64').toString('latin1'));
const integer = z
  .union([z.string().regex(/^-?\d{1,16}$/), z.int()])
  .default(0)
  .transform(Number);

const rangeFields = { key: bytes, range_end: bytes.optional() };
const rangeSchema = z
  .object({ ...rangeFields, limit: integer })
  .transform(({ limit, ...keys }): StoreOperation => ({
    type: 'range',
    range: toKeyRange(keys),
    limit,
  }));
const putSchema = z
  .object({ key: bytes, value: z.base64().default(''), lease: integer })
  .transform((put): StoreOperation => ({ type: 'put', ...put }));
const deleteSchema = z
  .object(rangeFields)
  .transform((keys): StoreOperation => ({ type: 'delete', range: toKeyRange(keys) }));

const compareSchema = z
  .object({
    key: bytes,
    target: z.enum(['MOD', 'CREATE', 'VERSION']),
    result: z.literal('EQUAL').default('EQUAL'),
    mod_revision: integer,
    create_revision: integer,
    version: integer,
  })
  .transform((compare): StoreCompare => {
    const value = {
      MOD: compare.mod_revision,
      CREATE: compare.create_revision,
      VERSION: compare.version,
    };
    return { key: compare.key, target: compare.target, value: value[compare.target] };
  });

const operationSchema = z.union([
  z.object({ request_put: putSchema }).transform((operation) => operation.request_put),
  z.object({ request_range: rangeSchema }).transform((operation) => operation.request_range),
  z
    .object({ request_delete_range: deleteSchema })
    .transform((operation) => operation.request_delete_range),
]);

/** Requests that the gateway accepts. */
export const gatewayRequests = {
  range: z.object({ ...rangeFields, limit: integer }),
  transaction: z.object({
    compare: z.array(compareSchema).default([]),
    success: z.array(operationSchema).default([]),
    failure: z.array(operationSchema).default([]),
  }),
  leaseGrant: z.object({ TTL: integer, ID: integer }),
  leaseId: z.object({ ID: integer }),
  watch: z.object({ create_request: z.object({ ...rangeFields, start_revision: integer }) }),
};

/** Builds a range from its members on the wire. */
export function toKeyRange(keys: { key: string; range_end?: string | undefined }): KeyRange {
  return keys.range_end === undefined ? { key: keys.key } : { key: keys.key, end: keys.range_end };
}

/** Renames members from camel case to snake case in all objects of a body. */
export function toSnakeCase(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(toSnakeCase);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).map(([name, member]) => {
    const renamed = name.replace(
      /([a-z])([A-Z])/g,
      (_, a: string, b: string) => `${a}_${b.toLowerCase()}`,
    );
    return [renamed, toSnakeCase(member)] as const;
  });
  return Object.fromEntries(entries);
}

/** Header of every answer. */
export function toHeader(revision: number): object {
  return { cluster_id: '1', member_id: '1', revision: String(revision), raft_term: '1' };
}

/** A value as the gateway encodes it. */
export function toWireValue(stored: StoredValue): object {
  return {
    key: Buffer.from(stored.key, 'latin1').toString('base64'),
    ...(stored.createRevision > 0 && { create_revision: String(stored.createRevision) }),
    mod_revision: String(stored.modRevision),
    ...(stored.version > 0 && { version: String(stored.version) }),
    ...(stored.value !== '' && { value: stored.value }),
    ...(stored.lease !== 0 && { lease: String(stored.lease) }),
  };
}

/** An event as the gateway encodes it; a put has no type member, as its type is the zero value. */
export function toWireEvent({ type, keyValue }: StoreEvent): object {
  return { ...(type === 'delete' && { type: 'DELETE' }), kv: toWireValue(keyValue) };
}

/** Members of a range answer. */
export function toWireRange(values: readonly StoredValue[], count: number): object {
  if (count === 0) return {};
  return { kvs: values.map(toWireValue), count: String(count) };
}

/** The answer to one operation of a transaction. */
export function toWireResult(result: OperationResult, revision: number): object {
  const header = { revision: String(revision) };
  if (result.type === 'put') return { response_put: { header } };
  if (result.type === 'range') {
    return { response_range: { header, ...toWireRange(result.values, result.count) } };
  }
  const deleted = result.deleted > 0 ? { deleted: String(result.deleted) } : {};
  return { response_delete_range: { header, ...deleted } };
}
