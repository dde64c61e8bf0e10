/**
 * Counts refused and failed requests by second, kind and cause, from the log lines of all nodes.
 * Besides requests of callers these are calls that targets made for them; when such a call is lost,
 * the request that it was made for is lost with it.
 * Served requests are counted where the logs contain them (level debug).
 *
 * Times are those of each node's clock, so that seconds of different nodes may be offset.
 */
import { Event } from '../kernel/event.js';
import { ResultCode } from '../core/result-code.js';
import type { LogLine } from './request-story.js';

const MS_PER_SECOND = 1_000;
const UNKNOWN = '?';

/** How a request ended at its entry node. */
export type Ending = 'served' | 'refused' | 'failed';

/** Number of requests of one kind that ended in the same second, in the same way, for one cause. */
export interface LossRow {
  /** Whole seconds since the first line. */
  readonly second: number;
  readonly kind: string;
  /** Whether a caller sent it; otherwise a target sent it while it served another request. */
  readonly fromCaller: boolean;
  readonly ending: Ending;
  /** Name of the result code; for served requests the class of the status, such as `5xx`. */
  readonly cause: string;
  readonly count: number;
}

const ENDINGS: ReadonlyMap<number, Ending> = new Map([
  [Event.RequestServed, 'served'],
  [Event.RequestRefused, 'refused'],
  [Event.RequestFailed, 'failed'],
]);

/** Counts the ends of requests; rows are sorted by second, then by count, largest first. */
export function countLosses(lines: readonly LogLine[]): readonly LossRow[] {
  const ends = lines.filter(({ event }) => ENDINGS.has(event));
  const startedAt = ends.reduce((earliest, { time }) => Math.min(earliest, time), Infinity);
  const rows = new Map<string, LossRow>();
  for (const line of ends) {
    const row = toRow(line, startedAt);
    const key = [row.second, row.kind, row.fromCaller, row.ending, row.cause].join('|');
    rows.set(key, { ...row, count: (rows.get(key)?.count ?? 0) + 1 });
  }
  return [...rows.values()].sort(bySecondThenCount);
}

/** Sums rows over all seconds: one row per kind, sender, ending and cause, with `second` 0. */
export function sumLosses(rows: readonly LossRow[]): readonly LossRow[] {
  const sums = new Map<string, LossRow>();
  for (const row of rows) {
    const key = [row.kind, row.fromCaller, row.ending, row.cause].join('|');
    sums.set(key, { ...row, second: 0, count: row.count + (sums.get(key)?.count ?? 0) });
  }
  return [...sums.values()].sort(bySecondThenCount);
}

function toRow({ time, event, id, request, fields }: LogLine, startedAt: number): LossRow {
  const kind = fields['kind'];
  return {
    second: Math.floor((time - startedAt) / MS_PER_SECOND),
    kind: typeof kind === 'string' ? kind : UNKNOWN,
    fromCaller: request === undefined || request === id,
    ending: ENDINGS.get(event)!,
    cause: causeOf(fields),
    count: 1,
  };
}

function causeOf({ code, status, detail }: LogLine['fields']): string {
  if (typeof status === 'number') return `${Math.floor(status / 100)}xx`;
  const name = typeof code === 'number' ? ResultCode[code] : undefined;
  const overloadedService = typeof detail === 'string' ? findOverloadedService(detail) : undefined;
  const causeName = name ?? UNKNOWN;
  return overloadedService === undefined ? causeName : `${causeName} for ${overloadedService}`;
}

/** The overloaded service, where the detail names one. */
function findOverloadedService(detail: string): string | undefined {
  return /refused for load of ([^,\s]+)/.exec(detail)?.[1];
}

function bySecondThenCount(one: LossRow, other: LossRow): number {
  return one.second - other.second || other.count - one.count;
}
