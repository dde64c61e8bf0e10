/** How an exchange with the local target becomes the end of an attempt. */
import type { CostTally } from '../../core/admission/cost-tally.js';
import type { AttemptOutcome, LoadReport } from '../../core/request.js';
import type { AttemptEnd } from '../link/link-messages.js';
import type { ExchangeEnd } from './target-client.js';

const INTERNAL_SERVER_ERROR = 500;

/**
 * Adds the cost of the attempt to its answer: its own slot time and the costs of its calls.
 *
 * @param callCosts costs of its calls; undefined: unknown, or not sent
 * @param slotMs time from sending it to the target until the answer, in milliseconds
 */
export function withCost(
  callCosts: CostTally | undefined,
  service: string,
  slotMs: number,
  end: AttemptEnd,
): AttemptEnd {
  if (callCosts === undefined || end.type !== 'answer') return end;
  callCosts.add(service, slotMs);
  return { ...end, cost: callCosts.total };
}

/** Returns a load report that names no short service. */
export function withoutShortService(load: LoadReport): LoadReport {
  const copy: LoadReport & { shortService?: string } = { ...load };
  delete copy.shortService;
  return copy;
}

/**
 * Marks the answer of an attempt that failed after a refusal below it, so that the caller's node learns
 * of the wasted work.
 */
export function withRefusedBelow(refusedBelow: boolean, end: AttemptEnd): AttemptEnd {
  if (!refusedBelow || end.type !== 'answer' || end.status < INTERNAL_SERVER_ERROR) return end;
  return { ...end, refusedBelow: true };
}

/**
 * A failure that the target reports shows nothing about its speed, and the router should send the target fewer
 * requests.
 */
export function outcomeOf(end: AttemptEnd): AttemptOutcome {
  if (end.type === 'failure') return end.outcome;
  return end.status === INTERNAL_SERVER_ERROR ? 'failed' : 'success';
}

/** Whether the request may have reached the target and its connection broke without an answer. */
export function isInterrupted(exchange: ExchangeEnd): boolean {
  return exchange.type === 'failure' && exchange.cause === 'broken';
}
