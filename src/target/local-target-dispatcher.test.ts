/** The gauges of targets while they are placed at a node and after they leave it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRulesDocument, createTestSettings } from '../../test/support/test-admin.js';
import { InMemoryConfigStore } from '../config/in-memory-config-store.js';
import { parseRules } from '../config/rules.js';
import { ByteBudget } from '../core/byte-budget.js';
import { findOverloadPolicy } from '../core/overload-policy-registry.js';
import { ManualClock } from '../kernel/clock.js';
import { silentEventLog } from '../kernel/event.js';
import { EventLoopDelay } from '../kernel/event-loop-delay.js';
import { createMetrics, type Metrics } from '../kernel/metrics.js';
import { PLAIN_POLICY } from '../../test/support/plain-policy.js';
import { LocalTargetDispatcher } from './local-target-dispatcher.js';

interface Harness {
  readonly dispatcher: LocalTargetDispatcher;
  readonly clock: ManualClock;
  readonly metrics: Metrics;
  /** Puts rules with other slots in force, which require new tasks. */
  changeSlots(slots: number): void;
}

function createHarness(): Harness {
  const config = new InMemoryConfigStore();
  let version = 0;
  const changeSlots = (slots: number): void => {
    version += 1;
    const rules = parseRules(createRulesDocument('roteiro-vivo', slots)).unwrapOrElse(() => {
      throw new Error('invalid rules');
    });
    const origin = { operationId: `op-${version}`, author: 'ana', acceptedAtMs: 0 };
    config.offer({ tenant: rules.tenant, revision: version, version, rules, ...origin });
  };
  changeSlots(12);
  const clock = new ManualClock();
  const metrics = createMetrics(false);
  const dispatcher = new LocalTargetDispatcher({
    settings: createTestSettings(),
    config,
    policy: findOverloadPolicy(PLAIN_POLICY)!,
    buffers: new ByteBudget(1_000),
    createClient: () => ({
      call: () => new Promise(() => undefined),
      close: () => undefined,
    }),
    clock,
    loopDelay: new EventLoopDelay(clock),
    log: silentEventLog,
    metrics,
    onLeavingChanged: () => undefined,
  });
  return { dispatcher, clock, metrics, changeSlots };
}

async function measuredTargets({ inFlight, queued, limit }: Metrics): Promise<string[]> {
  const lists = await Promise.all([inFlight, queued, limit].map((gauge) => gauge.get()));
  const [first, ...others] = lists.map(({ values }) =>
    values.map(({ labels }) => String(labels.target)),
  );
  for (const other of others) assert.deepEqual(other, first);
  return first ?? [];
}

test('the gauges of a target are removed when it is fronted elsewhere', async () => {
  const { dispatcher, clock, metrics } = createHarness();
  dispatcher.setPlaced(['guide-1', 'guide-2']);
  for (const target of ['guide-1', 'guide-2']) dispatcher.noteHealth(target, 'serving');
  assert.deepEqual(await measuredTargets(metrics), ['guide-1', 'guide-2']);
  dispatcher.setPlaced(['guide-2']);
  assert.deepEqual(await measuredTargets(metrics), ['guide-1', 'guide-2']);
  clock.advance(5_000);
  assert.deepEqual(await measuredTargets(metrics), ['guide-2']);
  dispatcher.setPlaced(['guide-1', 'guide-2']);
  dispatcher.noteHealth('guide-1', 'serving');
  assert.deepEqual(await measuredTargets(metrics), ['guide-2', 'guide-1']);
});

test('the gauges of a target stay when a new task replaces the old one', async () => {
  const { dispatcher, metrics, changeSlots } = createHarness();
  dispatcher.setPlaced(['guide-1']);
  dispatcher.noteHealth('guide-1', 'serving');
  changeSlots(20);
  dispatcher.setPlaced(['guide-1']);
  assert.deepEqual(await measuredTargets(metrics), ['guide-1']);
  dispatcher.close();
  assert.deepEqual(await measuredTargets(metrics), []);
});
