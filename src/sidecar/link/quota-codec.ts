/** BSON encoding of queries for quota grants of tenants and of their replies. */
import type { QuotaGrant, QuotaRequest } from '../../core/quota/quota-counter.js';
import type { QuotaQuery, QuotaReply } from '../quota/quota-messages.js';

type Document = Record<string, unknown>;

/** Values are encoded as consecutive 4-byte numbers; an array of BSON numbers takes three times the space. */
const VALUES_PER_REQUEST = 3;
const VALUES_PER_GRANT = 2;
const NUMBER_BYTES = 4;

/** Returns the document members of a query. */
export function quotaQueryToDocument({ group, requests }: QuotaQuery): Document {
  const numbers = requests.flatMap(({ waiting, ahead, returned }) => [waiting, ahead, returned]);
  return { r: group, n: requests.map(({ tenant }) => tenant), c: toBytes(numbers) };
}

/** Decodes a query; throws when it is malformed. */
export function quotaQueryFromDocument({ r: group, n, c }: Document): QuotaQuery {
  if (typeof group !== 'number') throw new TypeError('quota query without group');
  const tenants = readTenants(n);
  const numbers = readNumbers(c, tenants.length * VALUES_PER_REQUEST);
  const requests = tenants.map((tenant, index): QuotaRequest => {
    const at = index * VALUES_PER_REQUEST;
    return { tenant, waiting: numbers[at]!, ahead: numbers[at + 1]!, returned: numbers[at + 2]! };
  });
  return { group, requests };
}

/** Returns the document members of a reply. */
export function quotaReplyToDocument(reply: QuotaReply): Document {
  if (reply.type === 'not-counting') return { o: reply.holder };
  const numbers = reply.grants.flatMap(({ granted, retryAfterMs }) => [
    granted,
    Math.ceil(retryAfterMs),
  ]);
  return { n: reply.grants.map(({ tenant }) => tenant), c: toBytes(numbers) };
}

/** Decodes a reply; throws when it is malformed. */
export function quotaReplyFromDocument({ n, c, o: holder }: Document): QuotaReply {
  if (n === undefined) {
    return typeof holder === 'string' ? { type: 'not-counting', holder } : { type: 'not-counting' };
  }
  const tenants = readTenants(n);
  const numbers = readNumbers(c, tenants.length * VALUES_PER_GRANT);
  const grants = tenants.map((tenant, index): QuotaGrant => {
    const at = index * VALUES_PER_GRANT;
    return { tenant, granted: numbers[at]!, retryAfterMs: numbers[at + 1]! };
  });
  return { type: 'grants', grants };
}

function toBytes(numbers: readonly number[]): Uint8Array {
  const bytes = Buffer.allocUnsafe(numbers.length * NUMBER_BYTES);
  numbers.forEach((value, index) => bytes.writeUInt32LE(value, index * NUMBER_BYTES));
  return bytes;
}

function readTenants(value: unknown): readonly string[] {
  const isList = Array.isArray(value) && value.every((name) => typeof name === 'string');
  if (!isList) throw new TypeError('tenants are not an array of strings');
  return value as string[];
}

function readNumbers(bytes: unknown, count: number): readonly number[] {
  if (!Buffer.isBuffer(bytes) || bytes.length !== count * NUMBER_BYTES) {
    throw new TypeError('numbers are missing or have the wrong length');
  }
  return Array.from({ length: count }, (_, index) => bytes.readUInt32LE(index * NUMBER_BYTES));
}
