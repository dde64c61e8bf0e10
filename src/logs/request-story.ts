/**
 * Selects the log lines of one request from the logs of several nodes. Clocks differ between nodes,
 * so lines are sorted by cause: attempts come before the end that the entry node logs, and calls
 * made for a request come before the end of that request. Only lines of equal rank are sorted by
 * time.
 */
import { Event } from '../kernel/event.js';

/** A parsed log line about a request. */
export interface LogLine {
  readonly node: string;
  readonly time: number;
  readonly event: number;
  /** Id of the attempt. */
  readonly id: string;
  /** Id of the caller's request, the root of the chain; absent on some lines. */
  readonly request?: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Events that a request's entry node logs at its end. */
const END_EVENTS: ReadonlySet<number> = new Set([
  Event.RequestRefused,
  Event.RequestFailed,
  Event.RequestServed,
]);

/** Fields of the JSON line that `LogLine.fields` leaves out. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  'level',
  'time',
  'node',
  'zone',
  'event',
  'msg',
  'id',
  'request',
]);

/** Parses one line; returns undefined when it is not a log line about a request. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let line: Record<string, unknown>;
  try {
    line = JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    return undefined;
  }
  const { node, time, event, id, request } = line;
  if (typeof id !== 'string' || typeof event !== 'number') return undefined;
  const fields = Object.fromEntries(
    Object.entries(line).filter(([name]) => !COMMON_FIELDS.has(name)),
  );
  return {
    node: typeof node === 'string' ? node : '?',
    time: typeof time === 'number' ? time : 0,
    event,
    id,
    ...(typeof request === 'string' ? { request } : {}),
    fields,
  };
}

/**
 * Lines about a request and the calls made for it, in order of cause.
 *
 * @param id id of an attempt or of the caller's request
 */
export function selectRequestLines(lines: readonly LogLine[], id: string): readonly LogLine[] {
  const ids = new Set([id]);
  for (const line of lines) if (line.request === id) ids.add(line.id);
  return lines.filter((line) => ids.has(line.id)).sort(byCause);
}

/** Formats one line for display. */
export function describeLine({ node, event, id, fields }: LogLine): string {
  const details = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
  return `${node}  ${Event[event] ?? event}  ${id}  ${details.join(' ')}`;
}

function byCause(a: LogLine, b: LogLine): number {
  // The longer id is of a call made for the request with the shorter one; its lines come first.
  if (a.id !== b.id) return b.id.length - a.id.length;
  if (END_EVENTS.has(a.event) !== END_EVENTS.has(b.event)) return END_EVENTS.has(a.event) ? 1 : -1;
  return a.time - b.time;
}
