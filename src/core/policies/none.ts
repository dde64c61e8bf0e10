/** Baseline `none`: every request is dispatched at once, every layer retries. */
import { createFixedLimit } from '../limit/fixed-limit.js';
import { registerOverloadPolicy } from '../overload-policy-registry.js';
import { FifoQueue } from '../queue/fifo-queue.js';
import { BaselineRouter } from './baseline-router.js';
import { BoundedGate } from './bounded-gate.js';

registerOverloadPolicy({
  name: 'none',
  createTargetGate: () =>
    new BoundedGate({
      limit: createFixedLimit(Infinity),
      queue: new FifoQueue(),
      maxQueued: 0,
      refusesAtDeadline: false,
    }),
  createServiceRouter: () => new BaselineRouter(),
});
