/** Messages of the etcd v3 JSON gateway: schemas of answers and constructors of requests. */
import { z } from 'zod';
import type { Compare, KeyValue, Machine, Put, RangeResult } from './platform-client.js';

const text = z.base64().transform((value) => Buffer.from(value, 'base64').toString('utf8'));
/** 64-bit integers are encoded as strings; revisions stay far below 2^53. */
const integer = z
  .string()
  .regex(/^\d{1,15}$/)
  .transform(Number);
const header = z.object({ revision: integer });

const keyValueSchema = z
  .object({
    key: text,
    value: text.default(''),
    create_revision: integer.default(0),
    mod_revision: integer,
    version: integer.default(0),
  })
  .transform((kv): KeyValue => ({
    key: kv.key,
    value: kv.value,
    createRevision: kv.create_revision,
    modRevision: kv.mod_revision,
    version: kv.version,
  }));

/** Answer of /v3/kv/range. */
export const rangeAnswerSchema = z
  .object({ header, kvs: z.array(keyValueSchema).default([]) })
  .transform((answer): RangeResult => ({ values: answer.kvs, revision: answer.header.revision }));

/** Answer of /v3/kv/txn. */
export const transactionAnswerSchema = z
  .object({ header, succeeded: z.boolean().default(false) })
  .transform(({ header: { revision }, succeeded }) => ({ succeeded, revision }));

const watchEventSchema = z.object({
  type: z.enum(['PUT', 'DELETE']).default('PUT'),
  kv: keyValueSchema,
});

/** One line of the answer of /v3/watch. */
export const watchLineSchema = z.object({
  result: z.object({
    events: z.array(watchEventSchema).default([]),
    canceled: z.boolean().default(false),
    compact_revision: integer.default(0),
  }),
});

/** Answer with the list of machines. */
export const machinesAnswerSchema = z.object({
  machines: z.array(
    z.object({
      id: z.string(),
      role: z.enum(['node', 'target']),
      state: z.enum(['live', 'leaving']),
      address: z.string(),
      zone: z.string(),
    }),
  ),
}) satisfies z.ZodType<{ machines: Machine[] }>;

/** Creates a request for all keys with a prefix. */
export function createRangeRequest(prefix: string): object {
  return { key: encode(prefix), range_end: encode(endOfPrefix(prefix)) };
}

/** Creates a transaction request: when all compares hold, applies all puts as one revision. */
export function createTransactionRequest(
  compares: readonly Compare[],
  puts: readonly Put[],
): object {
  return {
    compare: compares.map(({ key, modRevision }) => ({
      key: encode(key),
      target: 'MOD',
      result: 'EQUAL',
      mod_revision: String(modRevision),
    })),
    success: puts.map(({ key, value }) => ({
      request_put: { key: encode(key), value: encode(value) },
    })),
  };
}

/** Creates a request for a watch of all keys with a prefix. */
export function createWatchRequest(prefix: string, fromRevision: number): object {
  const range = createRangeRequest(prefix);
  return { create_request: { ...range, start_revision: String(fromRevision) } };
}

function encode(value: string | Buffer): string {
  return Buffer.from(value as string).toString('base64');
}

/** The first key after all keys with the prefix: the prefix with its last byte incremented. */
function endOfPrefix(prefix: string): Buffer {
  const end = Buffer.from(prefix);
  const last = end.length - 1;
  end[last] = end[last]! + 1;
  return end;
}
