/**
 * Encoding of the members of answers and failures that admission shares need: the cost of an attempt (`z`) and
 * the service that lacks slots (`y`). Invalid values are ignored, since the answer itself is valid.
 */
import {
  isPlausibleCost,
  MAX_COST_SERVICES,
  type ServiceCosts,
} from '../../core/admission/cost-tally.js';
import type { LoadReport } from '../../core/request.js';
import type { AttemptEnd } from './link-messages.js';

type Document = Readonly<Record<string, unknown>>;

const LENGTH_BYTES = 1;
const FLOAT_BYTES = 4;
const MAX_NAME_BYTES = 255;
/** Most bytes of one UTF-16 unit in UTF-8. */
const MAX_UTF8_BYTES = 3;
/** Takes the place of bytes that are not UTF-8. */
const REPLACEMENT = '\uFFFD';

/** Encodes each service as the length of its name, the name, and its milliseconds. */
export function costToBytes(cost: ServiceCosts): Uint8Array | undefined {
  let room = 0;
  for (const service of cost.keys()) {
    room += LENGTH_BYTES + MAX_UTF8_BYTES * service.length + FLOAT_BYTES;
  }
  const bytes = Buffer.allocUnsafe(room);
  let [end, count] = [0, 0];
  for (const [service, ms] of cost) {
    const length = Buffer.byteLength(service);
    if (length === 0 || length > MAX_NAME_BYTES || !isPlausibleCost(ms)) continue;
    if (count >= MAX_COST_SERVICES) break;
    count += 1;
    end = bytes.writeUInt8(length, end);
    end += bytes.write(service, end);
    end = bytes.writeFloatLE(ms, end);
  }
  return count === 0 ? undefined : bytes.subarray(0, end);
}

/** Returns the cost in an answer; empty when there is none or it is invalid. */
export function costFromDocument({ z: bytes }: Document): { readonly cost?: ServiceCosts } {
  const cost = Buffer.isBuffer(bytes) ? costFromBytes(bytes) : undefined;
  return cost === undefined ? {} : { cost };
}

/** Returns the short service of a load report; empty when there is none or it is invalid. */
export function shortServiceFromDocument({ y: name }: Document): Pick<LoadReport, 'shortService'> {
  if (typeof name !== 'string') return {};
  const bytes = Buffer.byteLength(name);
  return bytes === 0 || bytes > MAX_NAME_BYTES ? {} : { shortService: name };
}

/** Returns which members were sent and ignored. */
export function rejectedMembers(
  { y, z }: Document,
  end: AttemptEnd,
): { readonly rejected?: readonly string[] } {
  const rejected: string[] = [];
  if (z !== undefined && (end.type !== 'answer' || end.cost === undefined)) rejected.push('z');
  if (y !== undefined && end.load?.shortService === undefined) rejected.push('y');
  return rejected.length === 0 ? {} : { rejected };
}

function costFromBytes(bytes: Buffer): ServiceCosts | undefined {
  const cost = new Map<string, number>();
  let offset = 0;
  while (offset < bytes.length) {
    const nameAt = offset + LENGTH_BYTES;
    const valueAt = nameAt + bytes.readUInt8(offset);
    offset = valueAt + FLOAT_BYTES;
    if (valueAt === nameAt || offset > bytes.length) return undefined;
    const name = bytes.toString('utf8', nameAt, valueAt);
    const ms = bytes.readFloatLE(valueAt);
    if (name.includes(REPLACEMENT) || cost.has(name) || !isPlausibleCost(ms)) return undefined;
    cost.set(name, ms);
  }
  return cost.size === 0 || cost.size > MAX_COST_SERVICES ? undefined : cost;
}
