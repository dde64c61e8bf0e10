/** Tests the lifecycle with a scripted target and a store that answers at once. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock } from '../../kernel/clock.js';
import { silentEventLog } from '../../kernel/event.js';
import type { Heartbeat } from '../platform-adapter.js';
import type { NodeRecord } from './node-record.js';
import type { RecordPublisher } from './record-publisher.js';
import { TargetLifecycle } from './target-lifecycle.js';
import { TargetRegistration } from './target-registration.js';

const RECORD: NodeRecord = {
  node: 'n',
  address: '10.0.0.1:7620',
  zone: 'z',
  region: 'r',
  service: 's',
  targetId: 'i-1',
  targetStartedAt: 100,
  target: 'ready',
  targetSlots: 8,
};

const HEARTBEAT: Heartbeat = {
  type: 'heartbeat',
  targetId: 'i-1',
  address: '10.0.0.1:80',
  service: 's',
  zone: 'z',
  slots: 8,
  state: 'ready',
  sequence: 1,
  warmUpMs: 0,
  startedAt: 100,
};

/** A restarted node; `previous` is the record that its earlier process left in the store. */
class RestartedNode {
  readonly clock = new ManualClock();
  readonly registration = new TargetRegistration('s', '10.0.0.1:80');
  readonly lifecycle: TargetLifecycle;
  probes = 0;

  /** @param onWaitForPeers called when the lifecycle waits for peers; absent: the record is of the current era */
  constructor(
    previous: NodeRecord | undefined,
    answers: readonly (string | undefined)[],
    onWaitForPeers?: (lifecycle: TargetLifecycle) => void,
  ) {
    const publisher = {
      isFromOtherEra: () => onWaitForPeers !== undefined,
      takePrevious: () => previous,
      publish: () => Promise.resolve(),
    } as unknown as RecordPublisher;
    this.lifecycle = new TargetLifecycle({
      registration: this.registration,
      publisher,
      clock: this.clock,
      log: silentEventLog,
      readPrevious: () => Promise.resolve(undefined),
      record: () => RECORD,
      probe: () => {
        this.probes += 1;
        return Promise.resolve(answers[this.probes - 1]);
      },
      waitForPeerReports: () => {
        onWaitForPeers?.(this.lifecycle);
        return Promise.resolve();
      },
      onChanged: () => {},
    });
  }

  async restore(): Promise<void> {
    const restored = this.lifecycle.restore();
    for (let step = 0; step < 100; step += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      this.clock.advance(50);
    }
    await restored;
  }
}

test('a target that still has its identity is ready at once after a restart of its node', async () => {
  const restarted = new RestartedNode(RECORD, [undefined, 'i-1']);
  await restarted.restore();
  const { current } = restarted.registration;
  assert.equal(current?.state, 'ready');
  assert.deepEqual([current.id, current.startedAt, current.slots], ['i-1', 100, 8]);
  assert.equal(restarted.probes, 2);
});

const UNTRUSTED: readonly [string, NodeRecord | undefined, readonly (string | undefined)[]][] = [
  ['another target answers', RECORD, ['i-2']],
  ['nothing answers', RECORD, []],
  ['a target whose leaving was acknowledged', { ...RECORD, target: 'leaving' }, ['i-1']],
  ['no target was known', { ...RECORD, target: 'unknown', targetId: '' }, ['']],
  ['no record', undefined, ['i-1']],
];

for (const [name, previous, answers] of UNTRUSTED) {
  test(`does not restore a target as ready without its own report: ${name}`, async () => {
    const restarted = new RestartedNode(previous, answers);
    await restarted.restore();
    assert.equal(restarted.registration.current, undefined);
  });
}

test('accepts the next report of a restored target, and then that it is leaving', async () => {
  const restarted = new RestartedNode(RECORD, ['i-1']);
  await restarted.restore();
  assert.equal(await restarted.lifecycle.onReport(HEARTBEAT), 200);
  const leaving = { ...HEARTBEAT, sequence: 2, state: 'draining' } as const;
  assert.equal(await restarted.lifecycle.onReport(leaving), 200);
  assert.equal(restarted.registration.current?.state, 'leaving');
});

test('a report that arrives first takes precedence over the record', async () => {
  const restarted = new RestartedNode(RECORD, [undefined, 'i-1']);
  const restored = restarted.restore();
  await restarted.lifecycle.onReport({ ...HEARTBEAT, startedAt: 200, slots: 4 });
  await restored;
  assert.equal(restarted.registration.current?.startedAt, 200);
  assert.equal(restarted.registration.current.slots, 4);
});

test('a target with a record of an earlier era is not ready when peers report that it has left', async () => {
  const restarted = new RestartedNode(RECORD, ['i-1'], (lifecycle) => {
    lifecycle.onTargetLeft('i-1 100');
  });
  await restarted.restore();
  const states = [restarted.registration.current?.state];
  await restarted.lifecycle.onReport(HEARTBEAT);
  states.push(restarted.registration.current?.state);
  assert.ok(!states.includes('ready'), 'restored neither from the record nor by a late report');
});

test('a target is restored as ready when peers do not report that it has left', async () => {
  const restarted = new RestartedNode(RECORD, ['i-1'], () => {});
  await restarted.restore();
  assert.equal(restarted.registration.current?.state, 'ready');
});
