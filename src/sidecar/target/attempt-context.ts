/** What the gate of the target knows of an attempt. */
import { CRITICALITIES, type RequestContext } from '../../core/request.js';
import type { AttemptCall } from '../link/link-messages.js';

/** @param now local monotonic time of arrival, in milliseconds */
export function createContext(call: AttemptCall, now: number): RequestContext {
  return {
    requestId: call.requestId,
    tenant: '',
    service: call.service,
    kind: call.kind,
    criticality: CRITICALITIES[call.rank] ?? 'normal',
    deadline: now + call.timeLeftMs,
    dueAt: now + call.dueInMs,
    idempotent: call.idempotent,
    depth: call.depth,
    committed: call.committed,
  };
}
