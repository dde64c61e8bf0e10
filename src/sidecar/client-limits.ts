/** Bounds on what the clients of each port, the target and the store may make this node hold, from the settings. */
import type { AnswerLimits } from '../core/holding/answer-allowance.js';
import type { ClientLimits } from '../http/connection-guard.js';
import type { LinkLimits } from './link/incoming-links.js';
import type { SidecarSettings } from './settings.js';

const BYTES_PER_MB = 1024 * 1024;
/** Share of the descriptors that connections of callers may take. */
const CALLER_DESCRIPTOR_SHARE = 0.5;
/** Share of the descriptors that connections to each other HTTP port may take. */
const SERVICE_PORT_DESCRIPTOR_SHARE = 0.05;
/** Share of the descriptors that links from other nodes may take. */
const LINK_DESCRIPTOR_SHARE = 0.25;
/** Share of the memory limit that unfinished frames and unread messages of links may use. */
const LINK_MEMORY_SHARE = 0.2;
/** Share of the memory limit that answers may use which callers have not read. */
const ANSWER_MEMORY_SHARE = 0.15;
/** Unanswered requests of clients of another HTTP port, as a share of those of callers. */
const SERVICE_PORT_REQUEST_SHARE = 1 / 32;

/** Share of the memory limit that bodies of callers' requests may use. */
const BODY_MEMORY_SHARE = 0.3;

/** Bytes of bodies of callers' requests that may be buffered at once. */
export function bodyBufferBytes({ limits }: SidecarSettings): number {
  return limits.memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE;
}

/** Bounds on one answer of the target. */
export function targetAnswerLimits({ limits }: SidecarSettings): AnswerLimits {
  return {
    maxBodyBytes: limits.targetAnswerMb * BYTES_PER_MB,
    maxOverheadBytes: limits.answerOverheadMb * BYTES_PER_MB,
  };
}

/** Bounds on one answer of the store. */
export function storeAnswerLimits({ limits }: SidecarSettings): AnswerLimits {
  return {
    maxBodyBytes: limits.storeAnswerMb * BYTES_PER_MB,
    maxValues: limits.storeAnswerValues,
    maxOverheadBytes: limits.answerOverheadMb * BYTES_PER_MB,
  };
}

/** Bytes that a listing of the store may hold. */
export function storeListingBytes({ limits }: SidecarSettings): number {
  return limits.storeListingMb * BYTES_PER_MB;
}

/** Bounds for callers. */
export function callerLimits({ limits }: SidecarSettings): ClientLimits {
  return {
    connections: Math.floor(limits.fileDescriptors * CALLER_DESCRIPTOR_SHARE),
    requests: { perConnection: limits.requestsAhead, total: limits.openRequests },
    unreadAnswerBytes: limits.memoryMb * BYTES_PER_MB * ANSWER_MEMORY_SHARE,
    answerReadTimeoutMs: limits.answerReadTimeout,
  };
}

/** Bounds for the clients of another HTTP port. */
export function servicePortLimits({ limits }: SidecarSettings): ClientLimits {
  return {
    connections: Math.floor(limits.fileDescriptors * SERVICE_PORT_DESCRIPTOR_SHARE),
    requests: {
      perConnection: limits.requestsAhead,
      total: Math.ceil(limits.openRequests * SERVICE_PORT_REQUEST_SHARE),
    },
    unreadAnswerBytes: Infinity,
    answerReadTimeoutMs: limits.answerReadTimeout,
  };
}

/** Bounds for the links that other nodes open. */
export function linkLimits({ limits }: SidecarSettings): LinkLimits {
  return {
    connections: Math.floor(limits.fileDescriptors * LINK_DESCRIPTOR_SHARE),
    heldBytes: limits.memoryMb * BYTES_PER_MB * LINK_MEMORY_SHARE,
  };
}
