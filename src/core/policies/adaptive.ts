/** Policy `adaptive`, sillshore's own, and its parts. */
import {
  DEFAULT_OFFERED_LOAD_OPTIONS,
  OfferedLoadController,
} from '../admission/offered-load-controller.js';
import type { ThresholdController } from '../admission/threshold-controller.js';
import type { ConcurrencyLimit } from '../limit/concurrency-limit.js';
import { DeclaredLimit } from '../limit/declared-limit.js';
import { ThroughputLimit } from '../limit/throughput-limit.js';
import type { OverloadPolicy, TargetGateOptions } from '../overload.js';
import { registerOverloadPolicy } from '../overload-policy-registry.js';
import { CriticalityQueue } from '../queue/criticality-queue.js';
import type { WaitingQueue } from '../queue/waiting-queue.js';
import { RetryBudget } from '../retry/retry-budget.js';
import { chooseByTwoChoices, type TargetChoice } from '../routing/target-choice.js';
import { AdaptiveGate } from './adaptive-gate.js';
import { AdaptiveRouter } from './adaptive-router.js';

/** Parts of an adaptive policy; a variant replaces some of them. */
export interface AdaptiveParts {
  createLimit(options: TargetGateOptions): ConcurrencyLimit;
  createQueue(): WaitingQueue;
  createController(): ThresholdController;
  createRetryBudget(): RetryBudget;
  readonly choose: TargetChoice;
  /** Longest expected wait of the last request in a queue, in milliseconds. */
  readonly maxWaitMs: number;
}

/** The parts of policy `adaptive`. */
export const ADAPTIVE_PARTS: AdaptiveParts = {
  createLimit,
  createQueue: () => new CriticalityQueue(),
  createController: () => new OfferedLoadController(DEFAULT_OFFERED_LOAD_OPTIONS),
  createRetryBudget: () => new RetryBudget(),
  choose: chooseByTwoChoices,
  maxWaitMs: 150,
};

/** A target that declares its slots (`maxLimit` is `initialLimit`) has no capacity above them. */
function createLimit(options: TargetGateOptions): ConcurrencyLimit {
  const { initialLimit, maxLimit } = options;
  return maxLimit > initialLimit ? new ThroughputLimit(options) : new DeclaredLimit(initialLimit);
}

/** Creates a policy from its parts. */
export function createAdaptivePolicy(name: string, parts: AdaptiveParts): OverloadPolicy {
  return {
    name,
    createTargetGate: (options) =>
      new AdaptiveGate({
        limit: parts.createLimit(options),
        queue: parts.createQueue(),
        controller: parts.createController(),
        maxWaitMs: parts.maxWaitMs,
        objectiveQueue: options.objectiveQueue ?? 'auto',
      }),
    createServiceRouter: (options) =>
      new AdaptiveRouter(options, {
        choose: parts.choose,
        retryBudget: parts.createRetryBudget(),
      }),
  };
}

registerOverloadPolicy(createAdaptivePolicy('adaptive', ADAPTIVE_PARTS));
