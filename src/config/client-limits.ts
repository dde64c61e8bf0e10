/** Bounds on what the clients of a node's ports may hold, from its settings. */
import type { ClientLimits } from '../http/connection-guard.js';
import type { Settings } from './settings.js';

/** Share of the descriptors that connections of callers may take. */
const CALLER_DESCRIPTOR_SHARE = 0.5;
/** Share of the descriptors that connections to the admin port may take. */
const ADMIN_DESCRIPTOR_SHARE = 0.1;
/** Share of the descriptors that connections of peers may take before they are authenticated. */
const UNAUTHENTICATED_DESCRIPTOR_SHARE = 0.125;
/** Unanswered requests at the admin port, as a share of those of callers. */
const ADMIN_REQUEST_SHARE = 1 / 32;

/** Bounds for callers. */
export function callerLimits({ limits }: Settings): ClientLimits {
  return {
    connections: Math.floor(limits.fileDescriptors * CALLER_DESCRIPTOR_SHARE),
    requests: { perConnection: limits.requestsAhead, total: limits.openRequests },
    unreadAnswerBytes: limits.maxBufferedBytes,
    answerReadTimeoutMs: limits.answerReadTimeoutMs,
  };
}

/** Bounds for operators; their answers are bounded by their number. */
export function operatorLimits({ limits }: Settings): ClientLimits {
  return {
    connections: Math.floor(limits.fileDescriptors * ADMIN_DESCRIPTOR_SHARE),
    requests: {
      perConnection: limits.requestsAhead,
      total: Math.ceil(limits.openRequests * ADMIN_REQUEST_SHARE),
    },
    unreadAnswerBytes: Infinity,
    answerReadTimeoutMs: limits.answerReadTimeoutMs,
  };
}

/** Connections of peers that may be in their handshake at once. */
export function unauthenticatedPeerLimit({ limits }: Settings): number {
  return Math.floor(limits.fileDescriptors * UNAUTHENTICATED_DESCRIPTOR_SHARE);
}
