import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createRandom } from '../core/random.js';
import { silentEventLog } from '../kernel/event.js';
import { LeavingTargets } from '../membership/leaving-targets.js';
import { SimulatedConfigFleet } from '../../test/support/simulated-config-fleet.js';
import { MachineListPoller } from './machine-list-poller.js';
import type { Machine } from './platform-client.js';

function createMachine(id: string, changes: Partial<Machine> = {}): Machine {
  return { id, role: 'target', state: 'live', address: `${id}:1`, zone: 'zone-a', ...changes };
}

test('nodes become seeds; leaving targets are published, kept in an outage, then withdrawn', async () => {
  const fleet = new SimulatedConfigFleet();
  const node = fleet.startNode('zone-a');
  const leavingTargets = new LeavingTargets(node);
  leavingTargets.set('target-side', ['t9']);
  const { clock, platform } = fleet;
  const random = createRandom(1);
  const parts = { clock, platform, random, membership: node, leavingTargets };
  const poller = new MachineListPoller({ ...parts, log: silentEventLog });
  platform.machineList = [
    createMachine('n1', { role: 'node' }),
    createMachine('n2', { role: 'node', state: 'leaving' }),
    createMachine('own', { role: 'node', address: node.self().peerAddress }),
    createMachine('t1', { state: 'leaving' }),
    createMachine('t2'),
  ];
  poller.start();
  await fleet.advance(100);
  assert.deepEqual(node.seeds, [['n1:1']]);
  assert.deepEqual(node.self().leavingTargets, ['t1', 't9']);
  fleet.platform.startOutage();
  await fleet.advance(5_000);
  assert.deepEqual(node.self().leavingTargets, ['t1', 't9']);
  fleet.platform.down = false;
  platform.machineList = [];
  await fleet.advance(3_000);
  assert.deepEqual(node.self().leavingTargets, ['t9']);
  poller.stop();
});

test('only the watchers of a zone poll', async () => {
  const fleet = new SimulatedConfigFleet();
  let polls = 0;
  const { machines } = fleet.platform;
  fleet.platform.machines = () => {
    polls += 1;
    return machines.call(fleet.platform);
  };
  const { clock, platform } = fleet;
  const log = silentEventLog;
  const nodes = Array.from({ length: 6 }, () => fleet.startNode('zone-a'));
  await fleet.advance(1_000);
  const pollers = nodes.map((membership, index) => {
    const leavingTargets = new LeavingTargets(membership);
    const parts = { clock, platform, log, membership, leavingTargets };
    return new MachineListPoller({ ...parts, random: createRandom(index) });
  });
  for (const poller of pollers) poller.start();
  await fleet.advance(100);
  assert.equal(polls, 6, 'each node polls once at its start');
  polls = 0;
  await fleet.advance(20_000);
  // Two nodes at an interval of 1.5 s to 2.5 s.
  assert.ok(polls >= 16 && polls <= 28, `${polls} polls`);
  for (const poller of pollers) poller.stop();
});
