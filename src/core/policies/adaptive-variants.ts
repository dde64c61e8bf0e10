/**
 * Variants of policy `adaptive` with one part replaced by another published algorithm, for
 * comparison in the same run. Not meant for production.
 *
 * @see docs/design/overload-control.md
 */
import { DagorController } from '../admission/dagor-controller.js';
import { AimdLimit } from '../limit/aimd-limit.js';
import { createFixedLimit } from '../limit/fixed-limit.js';
import { GradientLimit } from '../limit/gradient-limit.js';
import type { TargetGate } from '../overload.js';
import { registerOverloadPolicy } from '../overload-policy-registry.js';
import { AdaptiveLifoQueue } from '../queue/adaptive-lifo-queue.js';
import { FifoQueue } from '../queue/fifo-queue.js';
import { RetryBudget } from '../retry/retry-budget.js';
import {
  chooseByHotCold,
  chooseLeastLoaded,
  chooseLeastOutstanding,
} from '../routing/target-choice.js';
import { ADAPTIVE_PARTS, type AdaptiveParts, createAdaptivePolicy } from './adaptive.js';

/** Waiting requests above which the adaptive LIFO queue takes the newest first. */
const LIFO_ABOVE = 4;

const VARIANTS: Readonly<Record<string, Partial<AdaptiveParts>>> = {
  'adaptive-fixed-limit': { createLimit: ({ initialLimit }) => createFixedLimit(initialLimit) },
  'adaptive-aimd-limit': { createLimit: (options) => new AimdLimit(options) },
  'adaptive-gradient-limit': { createLimit: (options) => new GradientLimit(options) },
  'adaptive-dagor': { createController: () => new DagorController() },
  'adaptive-lifo': { createQueue: () => new AdaptiveLifoQueue(LIFO_ABOVE) },
  'adaptive-fifo': { createQueue: () => new FifoQueue() },
  'adaptive-least-loaded': { choose: chooseLeastLoaded },
  'adaptive-least-outstanding': { choose: chooseLeastOutstanding },
  'adaptive-hot-cold': { choose: chooseByHotCold },
  'adaptive-no-retry-budget': {
    createRetryBudget: () => new RetryBudget({ ratio: 0, capacity: Infinity }),
  },
};

for (const [name, parts] of Object.entries(VARIANTS)) {
  registerOverloadPolicy(createAdaptivePolicy(name, { ...ADAPTIVE_PARTS, ...parts }));
}

const { createTargetGate, createServiceRouter } = createAdaptivePolicy('adaptive', ADAPTIVE_PARTS);

/** Ejects outliers only, as in Envoy: gates report no share of failures to routing. */
registerOverloadPolicy({
  name: 'adaptive-ejection-alone',
  createServiceRouter,
  createTargetGate: (options) => withoutFailureShare(createTargetGate(options)),
});

/** Wasted runs do not raise the share of root requests that is refused. */
registerOverloadPolicy({
  name: 'adaptive-without-lost-runs',
  createServiceRouter,
  createTargetGate: (options) => withoutWastedRuns(createTargetGate(options)),
});

function withoutWastedRuns(gate: TargetGate): TargetGate {
  return { ...wrapGate(gate), noteWastedRun: () => {} };
}

function withoutFailureShare(gate: TargetGate): TargetGate {
  return {
    ...wrapGate(gate),
    report: (now, request) => ({ ...gate.report(now, request), failureShare: 0 }),
  };
}

function wrapGate(gate: TargetGate): TargetGate {
  return {
    offer: (now, ticket, request) => gate.offer(now, ticket, request),
    complete: (now, ticket, outcome) => gate.complete(now, ticket, outcome),
    cancel: (now, ticket) => gate.cancel(now, ticket),
    onTimer: (now) => gate.onTimer(now),
    nextTimer: () => gate.nextTimer(),
    report: (now, request) => gate.report(now, request),
    noteDownstream: (now, service, threshold, kind, shortService) => {
      gate.noteDownstream(now, service, threshold, kind, shortService);
    },
    noteWastedRun: (now, request) => {
      gate.noteWastedRun(now, request);
    },
    noteStatedLimit: (now, sentAt, requestsPerSecond) =>
      gate.noteStatedLimit(now, sentAt, requestsPerSecond),
    statedLimit: () => gate.statedLimit(),
    noteStatedLoad: (now, load) => gate.noteStatedLoad(now, load),
  };
}
