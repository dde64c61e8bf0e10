/**
 * The guarantees under faults: a table of fault cases on one deployment of separate processes, with
 * callers that retry aggressively. Asserts what the journals show, so that the speed of the machine
 * does not matter.
 */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import type { Deployment } from './deployment.js';
import {
  breakPlatform,
  disturbTarget,
  killNode,
  pauseNode,
  startAgain,
  stopNode,
  waitForVote,
} from '../../test/support/fault-actions.js';
import { runFaultCase, type FaultScript } from '../../test/support/fault-case.js';
import {
  assertGuarantees,
  startTestDeployment,
} from '../../test/support/process-test-deployment.js';

const TIMEOUT_MS = 120_000;
/** Longer than the deadline of promise requests, and than peers take to consider a node failed. */
const PAUSE_MS = 8_000;
/** Factor on the example's deadlines: small, so that a pause outlasts them. */
const DEADLINE_FACTOR = 2;
const SHORT_DELAY_MS = 1_500;

interface FaultCase {
  readonly name: string;
  readonly faults: FaultScript;
  /** Whether nodes exit only by planned stops, which cut no answer. */
  readonly cutsNothing?: boolean;
}

const cases: readonly FaultCase[] = [
  {
    name: 'a node stands still past every timeout and continues',
    faults: async ({ nodes }) => {
      await pauseNode(nodes[1]!, PAUSE_MS);
      await delay(SHORT_DELAY_MS);
    },
  },
  {
    name: 'two nodes killed one after the other, with a restart in between',
    faults: async (deployment) => {
      const [first, second] = deployment.nodes;
      await killNode(deployment, first!, SHORT_DELAY_MS);
      await waitForVote(first!);
      await killNode(deployment, second!, SHORT_DELAY_MS);
      await waitForVote(second!);
    },
  },
  {
    name: 'the same node killed twice',
    faults: async (deployment) => {
      const node = deployment.nodes[2]!;
      await killNode(deployment, node, 200);
      await killNode(deployment, node, 200);
      await waitForVote(node);
    },
  },
  {
    name: 'a node killed and another standing still during a platform outage',
    faults: async (deployment) => {
      const [first, second] = deployment.nodes;
      await Promise.all([
        breakPlatform(deployment, 'hang', PAUSE_MS),
        pauseNode(second!, PAUSE_MS / 2),
        killNode(deployment, first!, SHORT_DELAY_MS),
      ]);
    },
  },
  {
    name: 'two planned stops at once',
    cutsNothing: true,
    faults: async (deployment) => {
      const [, second, third] = deployment.nodes;
      await Promise.all([stopNode(deployment, second!), stopNode(deployment, third!)]);
    },
  },
  {
    name: 'a planned stop and a start during a platform outage',
    cutsNothing: true,
    faults: async (deployment) => {
      const node = deployment.nodes[0]!;
      await deployment.controlPlatform({ outage: 'hang' });
      await delay(SHORT_DELAY_MS);
      await stopNode(deployment, node);
      await startAgain(deployment, node);
      await delay(SHORT_DELAY_MS);
    },
  },
  {
    name: 'all back ends of the promises shed while callers repeat',
    faults: async (deployment) => {
      const { targets } = deployment;
      const ledgers = targets.filter(({ plan }) => plan.service === 'promise-ledger');
      await Promise.all(
        ledgers.map(({ plan }) => disturbTarget(deployment, plan.id, { shed: true }, 3_000)),
      );
    },
  },
  {
    name: 'back ends die in the middle of answers, and one is killed',
    faults: async (deployment) => {
      const closingMidAnswer = { dieMidAnswer: true };
      await Promise.all([
        disturbTarget(deployment, 'promise-ledger-1', closingMidAnswer, 3_000),
        disturbTarget(deployment, 'promise-ledger-2', { truncate: true }, 3_000),
        disturbTarget(deployment, 'script-guide-1', closingMidAnswer, 3_000),
      ]);
      await deployment.replaceTarget('promise-ledger-3');
      await delay(SHORT_DELAY_MS);
    },
  },
];

let deployment: Deployment;

before(
  async () => {
    deployment = await startTestDeployment(DEADLINE_FACTOR);
  },
  { timeout: TIMEOUT_MS },
);
after(() => deployment.stop());

for (const [index, { name, faults, cutsNothing }] of cases.entries()) {
  test(`faults: ${name}`, { timeout: TIMEOUT_MS }, async (context) => {
    const { report, notServedAgain } = await runFaultCase(deployment, index + 1, faults);
    const { sent, complete, maxAttempts, cut } = report;
    context.diagnostic(JSON.stringify({ sent, complete, maxAttempts, cut }));
    assertGuarantees(report);
    assert.deepEqual(notServedAgain, []);
    if (cutsNothing === true) assert.equal(cut, 0);
  });
}
