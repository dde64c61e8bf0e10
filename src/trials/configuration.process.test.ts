/**
 * Rules revisions with nodes as separate processes: every accepted revision reaches every zone,
 * and no node returns to an older one, although nodes are killed or suspended, responses are lost
 * and the platform has outages. The time until a revision is in force everywhere is printed, not
 * asserted.
 */
import assert from 'node:assert/strict';
import { after, before, test, type TestContext } from 'node:test';
import { NodeFleet, type FleetNode } from '../../test/support/node-fleet.js';
import { createSampleRules } from '../../test/support/sample-rules.js';

const TENANT = 'recife';
const TIMEOUT_MS = 120_000;
/** Longer than it takes the other nodes to consider a suspended process failed. */
const SUSPENSION_MS = 6_000;

let fleet: NodeFleet;
/** Newest accepted revision. */
let accepted = 0;

before(
  async () => {
    fleet = await NodeFleet.start(TENANT);
    await fleet.startNode('a1', 'zone-a');
    await Promise.all([
      fleet.startNode('a2', 'zone-a'),
      fleet.startNode('b1', 'zone-b'),
      fleet.startNode('c1', 'zone-c'),
    ]);
  },
  { timeout: TIMEOUT_MS },
);
after(() => fleet.stop());

function findNode(zone: string): FleetNode {
  return fleet.running.find((node) => node.zone === zone)!;
}

async function apply(node: FleetNode, operationId: string, expected = accepted): Promise<void> {
  const document = createSampleRules({ tenant: TENANT, slots: expected + 1 });
  await node.admin.applyRules(TENANT, document, expected, operationId);
  accepted = expected + 1;
}

async function reportTime(context: TestContext): Promise<void> {
  const tookMs = await fleet.waitInForce(accepted);
  context.diagnostic(
    `revision ${accepted} in force everywhere ${Math.round(tookMs)} ms after the response`,
  );
}

interface FaultCase {
  readonly name: string;
  run(): Promise<void>;
  /** Ends the fault once the revision is in force everywhere. */
  end?(): Promise<void>;
}

const cases: readonly FaultCase[] = [
  { name: 'no fault', run: () => apply(findNode('zone-a'), 'op-plain') },
  {
    name: 'answer lost after the effect',
    run: async () => {
      await fleet.platform.control({ loseNextAnswers: 1 });
      await apply(findNode('zone-b'), 'op-lost-answer');
    },
  },
  {
    name: 'two operators at once: one wins',
    run: async () => {
      const before = accepted;
      const results = await Promise.allSettled([
        apply(findNode('zone-a'), 'op-first', before),
        apply(findNode('zone-c'), 'op-second', before),
      ]);
      const lost = results.filter((result) => result.status === 'rejected');
      assert.equal(lost.length, 1);
      assert.match(String(lost[0]!.reason), /4002|is current/);
      accepted = before + 1;
    },
  },
  {
    name: 'repeat of an operation at another node',
    run: async () => {
      const before = accepted;
      await apply(findNode('zone-a'), 'op-repeat', before);
      await apply(findNode('zone-b'), 'op-repeat', before);
    },
  },
  {
    name: 'accepting node killed in the middle; the operator repeats at another node',
    run: async () => {
      const before = accepted;
      const node = findNode('zone-b');
      await fleet.platform.control({ delayMs: 300 });
      const failed = apply(node, 'op-killed', before).then(
        () => false,
        () => true,
      );
      await new Promise((resolve) => setTimeout(resolve, 450));
      await node.process.stop('SIGKILL');
      assert.equal(await failed, true);
      await fleet.platform.control({ delayMs: 0 });
      await apply(findNode('zone-c'), 'op-killed', before);
      await fleet.startNode('b2', 'zone-b');
    },
  },
  {
    name: 'a process stands still while a revision is accepted',
    run: async () => {
      const { process } = findNode('zone-c');
      process.signal('SIGSTOP');
      await apply(findNode('zone-a'), 'op-stopped');
      await new Promise((resolve) => setTimeout(resolve, SUSPENSION_MS));
      process.signal('SIGCONT');
    },
  },
  {
    name: 'platform outage right after acceptance',
    run: async () => {
      // Watches are cut, so the change can spread only between the nodes.
      await fleet.platform.control({ cutWatches: true });
      await apply(findNode('zone-b'), 'op-outage');
      await fleet.platform.control({ outage: 'refuse' });
    },
    end: async () => {
      await fleet.platform.control({ outage: 'none' });
    },
  },
  {
    name: 'a node replaced during an outage starts with the revision in force',
    run: async () => {
      await apply(findNode('zone-a'), 'op-replaced');
      await fleet.platform.control({ outage: 'hang' });
      await fleet.waitInForce(accepted);
      await findNode('zone-a').process.stop('SIGKILL');
      const replacement = await fleet.startNode('a3', 'zone-a');
      assert.equal(await replacement.admin.revisionInForce(TENANT), accepted);
    },
    end: async () => {
      await fleet.platform.control({ outage: 'none' });
    },
  },
  { name: 'after all faults', run: () => apply(findNode('zone-c'), 'op-last') },
];

for (const { name, run, end } of cases) {
  test(`processes: ${name}`, { timeout: TIMEOUT_MS }, async (context) => {
    await run();
    await reportTime(context);
    await end?.();
    assert.deepEqual(fleet.revisionDecreases, []);
  });
}

test('processes: every operation took effect once', async () => {
  const revisions = fleet.platform.store.range({
    key: `/sillshore/rules/history/${TENANT}/`,
    end: `/sillshore/rules/history/${TENANT}0`,
  });
  assert.equal(revisions.count, accepted);
});
