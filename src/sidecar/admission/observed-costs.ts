/**
 * Passes on what requests that ended have cost: the cost of a call to the request of the local target that made
 * it, and the cost of a root request to the estimates.
 *
 * @see docs/design/request-costs.md
 */
import type { ServiceCosts } from '../../core/admission/cost-tally.js';
import type { RequestCosts } from '../../core/admission/request-costs.js';
import type { RequestContext } from '../../core/request.js';
import type { Clock } from '../../kernel/clock.js';
import type { AttemptAnswer } from '../link/link-messages.js';
import type { TargetGateway } from '../target/target-gateway.js';

export interface ObservedCostsOptions {
  readonly costs: RequestCosts;
  /** Holds the local target's requests, for which it makes calls. */
  readonly gateway: Pick<TargetGateway, 'noteCallCost'>;
  readonly clock: Clock;
  /** See {@link PlatformAdapter.parentOf}. */
  parentOf(attemptId: string): string | undefined;
}

/** Lowest status that stands for a failure of the target. */
const SERVER_ERROR = 500;

/** Costs of the requests that this node handles. */
export class ObservedCosts {
  constructor(private readonly options: ObservedCostsOptions) {}

  /**
   * Records the end of a request. A failed one teaches nothing, since it looks cheap; after a failed call, the
   * cost of the request that made it is unknown.
   *
   * @param context undefined: it was refused before its route was known
   * @param answer undefined: it was refused, failed, or its caller has disconnected
   */
  onEnd(
    attemptId: string | undefined,
    context: RequestContext | undefined,
    answer?: AttemptAnswer,
  ): void {
    const { costs, gateway, clock, parentOf } = this.options;
    const cost = servedCost(answer);
    const parentId = parentOf(attemptId ?? '');
    if (parentId !== undefined) gateway.noteCallCost(parentId, cost);
    else if (context !== undefined && cost !== undefined) {
      costs.note(clock.now(), context.kind, context.service, cost);
    }
  }
}

function servedCost(answer: AttemptAnswer | undefined): ServiceCosts | undefined {
  return answer === undefined || answer.status >= SERVER_ERROR ? undefined : answer.cost;
}
