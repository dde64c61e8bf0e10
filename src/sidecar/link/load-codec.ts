/** Encoding of a target's load on answers and failures between nodes. */
import type { LoadReport } from '../../core/request.js';

/** Values of every load; the request limit, the slowdown and the time of the kind follow. */
const REQUIRED_VALUES = 6;
const FLOAT_BYTES = 4;
/**
 * Stands for an absent request limit while values follow it. Nodes of an earlier version read it as a limit,
 * so it is one that never binds; NaN or Infinity there would stop all requests to the target.
 */
const NO_REQUEST_LIMIT = 1e9;
/** Largest accepted slowdown; see the bounds of targets' statements. */
const MAX_SLOWDOWN = 100;
/** Largest accepted time of a kind, in milliseconds: no route waits that long for an answer. */
const MAX_KIND_LATENCY_MS = 1_000_000;

/**
 * Encodes the load as 4-byte numbers; an array of BSON numbers takes three times the space. A load without
 * slowdown and time of the kind has the form that earlier versions send.
 */
export function loadToBytes(load: LoadReport): Uint8Array {
  const { inFlight, queued, limit, latencyMs, threshold, failureShare = 0 } = load;
  const { requestLimit, slowdown, kindLatencyMs } = load;
  const values = [inFlight, queued, limit, latencyMs, threshold, failureShare];
  if (slowdown !== undefined || kindLatencyMs !== undefined) {
    // 0 is out of bounds for both, so a receiver ignores it.
    values.push(requestLimit ?? NO_REQUEST_LIMIT, slowdown ?? 0, kindLatencyMs ?? 0);
  } else if (requestLimit !== undefined) {
    values.push(requestLimit);
  }
  const bytes = Buffer.allocUnsafe(values.length * FLOAT_BYTES);
  values.forEach((value, index) => {
    bytes.writeFloatLE(value, index * FLOAT_BYTES);
  });
  return bytes;
}

/** Decodes the load; optional values that are absent or out of bounds are left out. */
export function loadFromBytes(bytes: Buffer): LoadReport {
  const read = (index: number): number => bytes.readFloatLE(index * FLOAT_BYTES);
  const has = (index: number): boolean => bytes.length >= (index + 1) * FLOAT_BYTES;
  const [inFlight, queued, limit, latencyMs] = [read(0), read(1), read(2), read(3)];
  const requestLimit = has(REQUIRED_VALUES) ? read(REQUIRED_VALUES) : NO_REQUEST_LIMIT;
  const slowdown = has(REQUIRED_VALUES + 1) ? read(REQUIRED_VALUES + 1) : 0;
  const kindLatencyMs = has(REQUIRED_VALUES + 2) ? read(REQUIRED_VALUES + 2) : 0;
  return {
    ...{ inFlight, queued, limit, latencyMs, threshold: read(4), failureShare: read(5) },
    ...(requestLimit >= 0 && requestLimit < NO_REQUEST_LIMIT ? { requestLimit } : {}),
    ...(isWithin(slowdown, MAX_SLOWDOWN) ? { slowdown } : {}),
    ...(isWithin(kindLatencyMs, MAX_KIND_LATENCY_MS) ? { kindLatencyMs } : {}),
  };
}

function isWithin(value: number, maximum: number): boolean {
  return value > 0 && value <= maximum;
}
