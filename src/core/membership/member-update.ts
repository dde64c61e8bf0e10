/** Claims about members as sent between nodes, and their order. */
import type { MemberFacts } from '../member.js';

/** Position of a claim: a higher incarnation wins, then a higher sequence. */
export interface ClaimPosition {
  readonly incarnation: number;
  readonly sequence: number;
}

/** Facts that a node reports about itself. */
export interface FactsUpdate {
  readonly type: 'facts';
  readonly facts: MemberFacts;
  /** Whether the node has announced its planned stop. */
  readonly leaving: boolean;
}

/** Stands for facts that are too large for a datagram; the receiver fetches them. */
export interface NoticeUpdate extends ClaimPosition {
  readonly type: 'notice';
  readonly nodeId: string;
}

/** A node received no answer from another one. */
export interface SuspectUpdate extends ClaimPosition {
  readonly type: 'suspect';
  readonly nodeId: string;
  /** The node that suspects; independent suspicions shorten the wait. */
  readonly from: string;
}

/** A suspicion was not refuted in time. */
export interface FailedUpdate extends ClaimPosition {
  readonly type: 'failed';
  readonly nodeId: string;
}

/** A node's rules version rose. */
export interface VersionUpdate {
  readonly type: 'version';
  readonly nodeId: string;
  readonly incarnation: number;
  readonly configVersion: number;
}

/** Any claim. */
export type MemberUpdate =
  FactsUpdate | NoticeUpdate | SuspectUpdate | FailedUpdate | VersionUpdate;

/** Negative when `a` is older than `b`, 0 when equal, positive when newer. */
export function comparePositions(a: ClaimPosition, b: ClaimPosition): number {
  return a.incarnation - b.incarnation || a.sequence - b.sequence;
}

/** The node that a claim is about. */
export function subjectOf(update: MemberUpdate): string {
  return update.type === 'facts' ? update.facts.nodeId : update.nodeId;
}

/** Bytes of one BSON element without its content: type, key of up to 3 digits, zero byte. */
const ELEMENT_BYTES = 5;
const DOCUMENT_BYTES = 5;
const STRING_BYTES = 5;
const NUMBER_BYTES = 8;

function measureText(text: string): number {
  return ELEMENT_BYTES + STRING_BYTES + text.length;
}

function measureList(texts: readonly string[]): number {
  const content = texts.reduce((sum, text) => sum + measureText(text), 0);
  return ELEMENT_BYTES + DOCUMENT_BYTES + content;
}

/**
 * Upper bound of an update's encoded size in bytes. All texts are ASCII (names and IP
 * addresses); a test compares the bound with the codec.
 */
export function measureUpdate(update: MemberUpdate): number {
  const number = ELEMENT_BYTES + NUMBER_BYTES;
  const overhead = ELEMENT_BYTES + DOCUMENT_BYTES + number;
  switch (update.type) {
    case 'facts': {
      const { facts } = update;
      const { nodeId, zone, region, peerAddress, entryAddress, adminAddress } = facts;
      const texts = [nodeId, zone, region, peerAddress, entryAddress, adminAddress];
      const textBytes = texts.reduce((sum, text) => sum + measureText(text), 0);
      const lists = measureList(facts.fronts) + measureList(facts.leavingTargets);
      return overhead + textBytes + lists + 5 * number;
    }
    case 'suspect':
      return overhead + measureText(update.nodeId) + measureText(update.from) + 2 * number;
    default:
      return overhead + measureText(update.nodeId) + 2 * number;
  }
}
