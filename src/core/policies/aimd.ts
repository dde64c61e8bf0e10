/** Baseline `aimd`: an AIMD limit, a bounded first-in-first-out queue, retries per layer. */
import { AimdLimit } from '../limit/aimd-limit.js';
import { registerOverloadPolicy } from '../overload-policy-registry.js';
import { FifoQueue } from '../queue/fifo-queue.js';
import { BaselineRouter } from './baseline-router.js';
import { BoundedGate } from './bounded-gate.js';

/** Waiting requests per slot of the target. */
const QUEUED_PER_SLOT = 10;

registerOverloadPolicy({
  name: 'aimd',
  createTargetGate: ({ initialLimit, maxLimit }) =>
    new BoundedGate({
      limit: new AimdLimit({ initialLimit, maxLimit }),
      queue: new FifoQueue(),
      maxQueued: QUEUED_PER_SLOT * initialLimit,
      refusesAtDeadline: true,
    }),
  createServiceRouter: () => new BaselineRouter(),
});
