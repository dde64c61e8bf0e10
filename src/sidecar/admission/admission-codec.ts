/**
 * BSON encoding of the messages about admission. Figures that cannot be true are left out and counted, so that
 * one faulty node does not end the links to it.
 */
import type { AdmissionPlan } from '../../core/admission/admission-plan.js';
import type { DemandRow } from '../../core/admission/demand-rows.js';
import { CRITICALITIES } from '../../core/request.js';
import type {
  AdmissionMessage,
  CapacityReport,
  DemandReport,
  PlanReply,
} from './admission-messages.js';

type Document = Record<string, unknown>;

/** Frame codes; the others are in `link-codec.ts`. */
enum AdmissionFrame {
  DemandReport = 19,
  AdmissionPlan = 20,
  CapacityReport = 21,
}

/** Values are encoded as consecutive 4-byte floats; an array of BSON numbers takes three times the space. */
const FLOAT_BYTES = 4;
/** Index of the kind, rank, index of the tenant, requests a second, cost (negative: unknown), samples. */
const VALUES_PER_ROW = 6;
const VALUES_PER_CAPACITY = 4;
const UNKNOWN_COST = -1;
const NO_CUT = -1;
const MAX_ROWS = 64;
const MAX_TENANTS = 64;
const CLASSES = CRITICALITIES.length;
/** No rate, count, limit or cost of one node is larger. */
const MAX_FIGURE = 1_000_000;

/** Returns the document of a message. */
export function admissionToDocument(message: AdmissionMessage): Document {
  switch (message.type) {
    case 'demand-report':
      return { t: AdmissionFrame.DemandReport, i: message.question, ...demandTo(message.report) };
    case 'admission-plan':
      return { t: AdmissionFrame.AdmissionPlan, i: message.question, ...planTo(message.reply) };
    case 'capacity-report':
      return { t: AdmissionFrame.CapacityReport, ...capacityTo(message.report) };
  }
}

/** Decodes a message; undefined for another frame code. Throws when names are missing. */
export function admissionFromDocument(document: Document): AdmissionMessage | undefined {
  const question = document['i'] as number;
  switch (document['t'] as AdmissionFrame) {
    case AdmissionFrame.DemandReport:
      return { type: 'demand-report', question, report: demandFrom(document) };
    case AdmissionFrame.AdmissionPlan:
      return { type: 'admission-plan', question, reply: planFrom(document) };
    case AdmissionFrame.CapacityReport:
      return { type: 'capacity-report', report: capacityFrom(document) };
    default:
      return undefined;
  }
}

function demandTo({ node, service, rows }: DemandReport): Document {
  const kinds = [...new Set(rows.map(({ kind }) => kind))];
  const tenants = [...new Set(rows.map(({ tenant }) => tenant))];
  const values = rows.flatMap(({ kind, rank, tenant, perSecond, costMs, samples }) => {
    const indexes = [kinds.indexOf(kind), rank, tenants.indexOf(tenant)];
    return [...indexes, perSecond, costMs ?? UNKNOWN_COST, samples];
  });
  return { n: node, s: service, k: kinds, u: tenants, c: toBytes(values) };
}

function demandFrom({ n, s, k, u, c }: Document): DemandReport {
  const [kinds, tenants, values] = [readNames(k), readNames(u), readValues(c)];
  const rows: DemandRow[] = [];
  const count = Math.ceil(values.length / VALUES_PER_ROW);
  for (let index = 0; index < Math.min(MAX_ROWS, count); index += 1) {
    const row = values.slice(index * VALUES_PER_ROW, (index + 1) * VALUES_PER_ROW);
    const [kindIndex, rank, tenantIndex, perSecond, cost, samples] = row;
    const [kind, tenant] = [kinds[kindIndex ?? -1], tenants[tenantIndex ?? -1]];
    const isValid = isRank(rank) && isFigure(perSecond) && isFigure(samples);
    if (kind === undefined || tenant === undefined || !isValid) continue;
    const known = { kind, rank, tenant, perSecond, samples };
    if (cost === UNKNOWN_COST) rows.push(known);
    else if (isFigure(cost)) rows.push({ ...known, costMs: cost });
  }
  const invalid = Buffer.isBuffer(c) ? count - rows.length : 1;
  return { node: readName(n), service: readName(s), rows, invalid };
}

function planTo({ plan }: PlanReply): Document {
  if (plan === undefined) return {};
  const { shares, cutRank, tenants } = plan;
  return {
    c: toBytes([...shares, cutRank ?? NO_CUT]),
    u: [...tenants.keys()],
    v: toBytes([...tenants.values()]),
  };
}

function planFrom({ c, u, v }: Document): PlanReply {
  if (c === undefined) return { invalid: 0 };
  const values = readValues(c);
  const [shares, cut] = [values.slice(0, CLASSES), values[CLASSES]];
  const tenants = readTenants(u, v);
  const isValid = shares.length === CLASSES && shares.every(isShare) && tenants !== undefined;
  if (!isValid || (cut !== NO_CUT && !isRank(cut))) return { invalid: 1 };
  const plan: AdmissionPlan =
    cut === NO_CUT ? { shares, tenants } : { shares, cutRank: cut, tenants };
  return { plan, invalid: 0 };
}

function readTenants(names: unknown, shares: unknown): ReadonlyMap<string, number> | undefined {
  const tenants = readNames(names);
  const values = readValues(shares);
  const isValid = tenants.length === values.length && values.every(isShare);
  if (!isValid || tenants.length > MAX_TENANTS) return undefined;
  return new Map(tenants.map((tenant, index) => [tenant, values[index]!]));
}

function capacityTo({ node, service, capacity }: CapacityReport): Document {
  const { limit = 0, pending = 0, offered = 0, refused = 0 } = capacity ?? {};
  return { n: node, s: service, c: toBytes([limit, pending, offered, refused]) };
}

function capacityFrom({ n, s, c }: Document): CapacityReport {
  const names = { node: readName(n), service: readName(s) };
  const values = readValues(c);
  const [limit, pending, offered, refused] = values;
  if (values.length !== VALUES_PER_CAPACITY || !values.every(isFigure) || limit === 0) return names;
  return {
    ...names,
    capacity: { limit: limit!, pending: pending!, offered: offered!, refused: refused! },
  };
}

function isFigure(value: number | undefined): value is number {
  return value !== undefined && value >= 0 && value <= MAX_FIGURE;
}

function isShare(value: number): boolean {
  return value >= 0 && value <= 1;
}

function isRank(value: number | undefined): value is number {
  return Number.isInteger(value) && value! >= 0 && value! < CLASSES;
}

function toBytes(values: readonly number[]): Uint8Array {
  const bytes = Buffer.allocUnsafe(values.length * FLOAT_BYTES);
  values.forEach((value, index) => bytes.writeFloatLE(value, index * FLOAT_BYTES));
  return bytes;
}

/** Values of a binary member; none when it is missing or has another type. */
function readValues(bytes: unknown): readonly number[] {
  if (!Buffer.isBuffer(bytes)) return [];
  const count = Math.floor(bytes.length / FLOAT_BYTES);
  return Array.from({ length: count }, (_, index) => bytes.readFloatLE(index * FLOAT_BYTES));
}

function readNames(value: unknown): readonly string[] {
  if (!Array.isArray(value)) return [];
  return value.map((name) => (typeof name === 'string' ? name : ''));
}

function readName(value: unknown): string {
  if (typeof value !== 'string' || value === '') throw new TypeError('a name is missing');
  return value;
}
