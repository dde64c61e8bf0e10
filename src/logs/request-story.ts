/**
 * The story of one request from the log lines of several nodes. Clocks differ from node to node,
 * so lines are put in order by cause: the tries come before the end that the entry node logs, and
 * a request comes after the request that it was made for. Time of day decides only within a node.
 */
import { Event } from '../kernel/event.js';

/** A log line with what the story needs. */
export interface LogLine {
  readonly node: string;
  readonly time: number;
  readonly event: number;
  /** Identity of the try. */
  readonly id: string;
  /** Identity of the caller's request at the head of the chain; absent on some lines. */
  readonly request?: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Lines of events that end a request at its entry node. */
const ENDS: ReadonlySet<number> = new Set([
  Event.RequestRefused,
  Event.RequestFailed,
  Event.RequestServed,
]);

/** Members that every line has and that the story does not repeat. */
const COMMON_MEMBERS: ReadonlySet<string> = new Set([
  'level',
  'time',
  'node',
  'zone',
  'event',
  'msg',
  'id',
  'request',
]);

/** Reads one line; undefined when it is no log line about a request. */
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
    Object.entries(line).filter(([name]) => !COMMON_MEMBERS.has(name)),
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
 * @param id identity of a try or of the caller's request
 */
export function storyOf(lines: readonly LogLine[], id: string): readonly LogLine[] {
  const ids = new Set([id]);
  for (const line of lines) if (line.request === id) ids.add(line.id);
  return lines.filter((line) => ids.has(line.id)).sort(byCause);
}

/** One line of the story, for a person. */
export function describeLine({ node, event, id, fields }: LogLine): string {
  const details = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
  return `${node}  ${Event[event] ?? event}  ${id}  ${details.join(' ')}`;
}

function byCause(a: LogLine, b: LogLine): number {
  // The longer identity is of a call made for the shorter one; its lines come first.
  if (a.id !== b.id) return b.id.length - a.id.length;
  if (ENDS.has(a.event) !== ENDS.has(b.event)) return ENDS.has(a.event) ? 1 : -1;
  return a.time - b.time;
}
