/**
 * The context that a back end propagates with its calls, as members of the W3C `baggage` field.
 * Members that other systems set pass unchanged.
 */
import type { HeaderFields } from './http-message.js';

/** Context that a back end receives, and forwards with the calls that it makes. */
export interface CallBaggage {
  /** Attempt that the back end is serving. */
  readonly parentAttemptId: string;
  /** Node that holds the ledger of that attempt. */
  readonly nodeId: string;
  /** Time left for the attempt, in whole milliseconds. */
  readonly deadlineMs: number;
  /** Identity of the caller's request. */
  readonly requestId: string;
}

const BAGGAGE_FIELD = 'baggage';
const PARENT_MEMBER = 'sillshore-parent';
const NODE_MEMBER = 'sillshore-node';
const DEADLINE_MEMBER = 'sillshore-deadline';
const REQUEST_MEMBER = 'sillshore-request';
const OWN_MEMBERS: ReadonlySet<string> = new Set([
  PARENT_MEMBER,
  NODE_MEMBER,
  DEADLINE_MEMBER,
  REQUEST_MEMBER,
]);

/** Reads the parent and its node; undefined when the request carries no parent. */
export function readParent(
  headers: HeaderFields,
): { readonly parentAttemptId: string; readonly nodeId: string } | undefined {
  const members = new Map<string, string>();
  for (const member of listMembers(headers)) {
    const [key = '', value = ''] = (member.split(';')[0] ?? '').split('=');
    members.set(key.trim(), value.trim());
  }
  const parentAttemptId = members.get(PARENT_MEMBER);
  if (parentAttemptId === undefined || parentAttemptId === '') return undefined;
  return { parentAttemptId, nodeId: members.get(NODE_MEMBER) ?? '' };
}

/** Replaces sillshore's members and keeps all others, in one `baggage` field at the end. */
export function withBaggage(headers: HeaderFields, baggage: CallBaggage): HeaderFields {
  const foreign = listMembers(headers).filter((member) => {
    const key = (member.split(/[=;]/)[0] ?? '').trim();
    return !OWN_MEMBERS.has(key);
  });
  const own = [
    `${PARENT_MEMBER}=${baggage.parentAttemptId}`,
    `${NODE_MEMBER}=${baggage.nodeId}`,
    `${DEADLINE_MEMBER}=${Math.max(0, Math.floor(baggage.deadlineMs))}`,
    `${REQUEST_MEMBER}=${encodeURIComponent(baggage.requestId)}`,
  ];
  const others = headers.filter(([name]) => !isBaggage(name));
  return [...others, ['baggage', [...foreign, ...own].join(',')]];
}

function isBaggage(name: string): boolean {
  return name.length === BAGGAGE_FIELD.length && name.toLowerCase() === BAGGAGE_FIELD;
}

function listMembers(headers: HeaderFields): string[] {
  const members: string[] = [];
  for (const [name, value] of headers) {
    if (!isBaggage(name)) continue;
    for (const member of value.split(',')) members.push(member.trim());
  }
  return members.filter((member) => member !== '');
}
