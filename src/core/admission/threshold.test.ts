import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { CRITICALITIES, type RequestContext } from '../request.js';
import { admissionPriority } from './admission-priority.js';
import { AgedThreshold, HALF_LIFE_MS, HOLD_MS } from './aged-threshold.js';
import { DagorController } from './dagor-controller.js';
import { DownstreamThresholds } from './downstream-thresholds.js';
import { OfferedLoad } from './offered-load.js';
import { OfferedLoadController } from './offered-load-controller.js';
import type { ThresholdController } from './threshold-controller.js';

const LIMIT = 10;
const WORK_MS = 20;
const STEP_MS = 1;

test('property: each class has priorities above the next, and every hop computes the same', () => {
  const request = fc.record({
    requestId: fc.uuid(),
    tenant: fc.constant('t'),
    service: fc.string(),
    kind: fc.string(),
    criticality: fc.constantFrom(...CRITICALITIES),
    deadline: fc.nat(),
    idempotent: fc.boolean(),
    depth: fc.nat(9),
  });
  fc.assert(
    fc.property(request, (context: RequestContext) => {
      const priority = admissionPriority(context);
      const quarter = 3 - CRITICALITIES.indexOf(context.criticality);
      assert.ok(priority >= quarter / 4 && priority < (quarter + 1) / 4);
      const atNextHop = { ...context, service: 'other', kind: 'other', depth: 9 };
      assert.equal(admissionPriority(atNextHop), priority);
    }),
    { numRuns: 200, seed: 21 },
  );
});

test('the threshold for a capacity leaves just that load above it', () => {
  const load = new OfferedLoad();
  for (let index = 0; index < 1_000; index += 1) load.add((index + 0.5) / 1_000, 1);
  load.endInterval(100_000, 0, 1, 1);
  assert.ok(Math.abs(load.total() - 0.01) < 1e-9);
  assert.ok(Math.abs(load.thresholdFor(0.0025) - 0.75) < 0.01);
  assert.equal(load.thresholdFor(0.02), 0);
});

test('load below the threshold is retained, load above it follows the arrivals', () => {
  const load = new OfferedLoad();
  for (const priority of [0.2, 0.8]) load.add(priority, 100);
  load.endInterval(100, 0, 1, 1_000);
  load.endInterval(100, 0.5, 1, 1_000);
  assert.ok(load.total() > 0.8 && load.total() < 1);
});

/** Arrivals spread evenly over the priorities; requests below the threshold never arrive. */
class Flow {
  private sequence = 0;
  private pending = 0;
  private queued = 0;
  now = 0;

  constructor(readonly controller: ThresholdController) {}

  /** Runs at a multiple of the capacity and returns the threshold at the end. */
  run(durationMs: number, multiple: number): number {
    const end = this.now + durationMs;
    for (; this.now < end; this.now += STEP_MS) this.step(multiple);
    return this.controller.threshold;
  }

  private step(multiple: number): void {
    const served = (LIMIT * STEP_MS) / WORK_MS;
    for (this.pending += multiple * served; this.pending >= 1; this.pending -= 1) this.arrive();
    this.queued = Math.min(50, Math.max(0, this.queued - served));
    const inFlight = this.queued > 0 ? LIMIT : Math.min(LIMIT, LIMIT * multiple);
    const expectedWaitMs = (this.queued * WORK_MS) / LIMIT;
    this.controller.update(this.now, {
      limit: LIMIT,
      inFlight,
      queued: Math.floor(this.queued),
      expectedWaitMs,
    });
  }

  private arrive(): void {
    this.sequence += 1;
    const priority = (this.sequence * 0.618_034) % 1;
    if (priority < this.controller.threshold) return;
    this.controller.noteOffered(this.now, priority, WORK_MS);
    this.queued += 1;
  }
}

const CONTROLLERS: Readonly<Record<string, () => ThresholdController>> = {
  'offered load': () => new OfferedLoadController(),
  dagor: () => new DagorController(),
};

for (const [name, create] of Object.entries(CONTROLLERS)) {
  test(`${name}: no threshold below capacity, and one near the excess above it`, () => {
    const flow = new Flow(create());
    assert.equal(flow.run(2_000, 0.8), 0);
    const threshold = flow.run(3_000, 2);
    assert.ok(threshold > 0.3 && threshold < 0.65, `threshold ${threshold}`);
  });
}

test('the offered-load threshold is 0 again half a second after the overload', () => {
  const flow = new Flow(new OfferedLoadController());
  for (const multiple of [2, 5]) {
    assert.ok(flow.run(3_000, multiple) > 0.3);
    assert.equal(flow.run(500, 0.5), 0);
  }
});

test('a received threshold holds, then decays, then is 0', () => {
  const aged = new AgedThreshold();
  assert.equal(aged.at(0), 0);
  aged.note(1_000, 0.8);
  assert.equal(aged.at(1_000 + HOLD_MS), 0.8);
  assert.ok(Math.abs(aged.at(1_000 + HOLD_MS + HALF_LIFE_MS) - 0.4) < 1e-9);
  assert.equal(aged.at(10_000), 0);
  aged.note(11_000, 0);
  assert.equal(aged.at(11_000), 0);
});

test('downstream thresholds: the highest one applies, set for every kind or for one', () => {
  const thresholds = new DownstreamThresholds();
  thresholds.note(0, 'a', 0.2);
  thresholds.note(0, 'b', 0.6, 'k');
  assert.deepEqual(thresholds.highest(0, 'k'), { threshold: 0.6, service: 'b' });
  assert.deepEqual(thresholds.highest(0, 'other'), { threshold: 0.2, service: 'a' });
});
