/**
 * Compares and exchanges full state. Members are divided into a fixed number of buckets; two
 * nodes compare one hash per bucket, so that an exchange between equal views costs the same
 * at any fleet size, and send only the members of buckets that differ.
 */
import { hash32 } from '../hash.js';
import { hashMember } from './member-hash.js';
import { measureUpdate, subjectOf, type FactsUpdate, type MemberUpdate } from './member-update.js';
import type { MemberSyncReply, MemberSyncRequest } from './membership-message.js';
import type { ProtocolState } from './protocol-state.js';

/** Number of buckets of members. */
export const SYNC_BUCKETS = 64;

/** Maximum number of members and of bytes in one page. */
const MAX_PAGE_MEMBERS = 100;
const MAX_PAGE_BYTES = 256 * 1_024;

/** The bucket of a member. */
export function bucketOf(nodeId: string): number {
  return hash32(nodeId) % SYNC_BUCKETS;
}

/** Hash of each bucket over the members that have not failed. */
export function hashBuckets(state: ProtocolState): number[] {
  const hashes = new Array<number>(SYNC_BUCKETS).fill(0);
  const add = (nodeId: string, hash: number): void => {
    const bucket = bucketOf(nodeId);
    // Kept within int32, BSON's small integer.
    hashes[bucket] = (hashes[bucket]! ^ hash) | 0;
  };
  add(state.self.nodeId, hashMember(state.self, state.leaving));
  for (const { facts, hash } of state.table.listLive()) add(facts.nodeId, hash);
  return hashes;
}

/** Compares the hashes of a request; replies with one page of the members of differing buckets. */
export function answerSync(state: ProtocolState, request: MemberSyncRequest): MemberSyncReply {
  if (request.hashes.length === 0) return { buckets: [], updates: [], next: '' };
  const own = hashBuckets(state);
  const buckets = own.flatMap((hash, index) => (hash === request.hashes[index] ? [] : [index]));
  const [page, next] = takePage(listUpdates(state, buckets), request.after);
  return { buckets, updates: page, next };
}

/** This node's claims about the members of some buckets, by node id. */
export function listUpdates(state: ProtocolState, buckets: readonly number[]): MemberUpdate[] {
  const wanted = new Set(buckets);
  const updates: { nodeId: string; update: MemberUpdate }[] = [];
  const add = (nodeId: string, update: MemberUpdate): void => {
    if (wanted.has(bucketOf(nodeId))) updates.push({ nodeId, update });
  };
  const { self, leaving } = state;
  add(self.nodeId, { type: 'facts', facts: self, leaving });
  for (const entry of state.table.all()) {
    const { nodeId } = entry.facts;
    const { incarnation, sequence } = entry.claim ?? entry.facts;
    if (entry.failedAt === undefined) {
      add(nodeId, { type: 'facts', facts: entry.facts, leaving: entry.leaving });
    } else {
      add(nodeId, { type: 'failed', nodeId, incarnation, sequence });
    }
  }
  updates.sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1));
  return updates.map(({ update }) => update);
}

/** Splits updates into requests that transfer them. */
export function createTransferRequests(updates: readonly MemberUpdate[]): MemberSyncRequest[] {
  const requests: MemberSyncRequest[] = [];
  let after = '';
  do {
    const [page, next] = takePage(updates, after);
    if (page.length > 0) requests.push({ hashes: [], after: '', updates: page });
    after = next;
  } while (after !== '');
  return requests;
}

/** Facts of some members, for a node that received only a notice of them. */
export function listFacts(state: ProtocolState, nodeIds: readonly string[]): FactsUpdate[] {
  const updates: FactsUpdate[] = [];
  for (const nodeId of nodeIds.slice(0, MAX_PAGE_MEMBERS)) {
    const entry = state.table.find(nodeId);
    if (nodeId === state.self.nodeId) {
      updates.push({ type: 'facts', facts: state.self, leaving: state.leaving });
    } else if (entry !== undefined) {
      updates.push({ type: 'facts', facts: entry.facts, leaving: entry.leaving });
    }
  }
  return updates;
}

function takePage(
  updates: readonly MemberUpdate[],
  after: string,
): readonly [page: MemberUpdate[], next: string] {
  const page: MemberUpdate[] = [];
  let bytes = 0;
  for (const update of updates) {
    const nodeId = subjectOf(update);
    if (nodeId <= after) continue;
    bytes += measureUpdate(update);
    const isFull = page.length >= MAX_PAGE_MEMBERS || bytes > MAX_PAGE_BYTES;
    if (isFull && page.length > 0) return [page, subjectOf(page[page.length - 1]!)];
    page.push(update);
  }
  return [page, ''];
}
