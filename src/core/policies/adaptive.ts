/** Policy `adaptive`: sillshore's own. */
import { createFixedLimit } from '../limit/fixed-limit.js';
import { registerOverloadPolicy } from '../overload-policy-registry.js';
import { CriticalityQueue } from '../queue/criticality-queue.js';
import { BaselineRouter } from './baseline-router.js';
import { BoundedGate } from './bounded-gate.js';

/** Waiting requests per slot of the target. */
const QUEUED_PER_SLOT = 10;

registerOverloadPolicy({
  name: 'adaptive',
  createTargetGate: ({ initialLimit }) =>
    new BoundedGate({
      limit: createFixedLimit(initialLimit),
      queue: new CriticalityQueue(),
      maxQueued: QUEUED_PER_SLOT * initialLimit,
      expires: true,
    }),
  createServiceRouter: () => new BaselineRouter(),
});
