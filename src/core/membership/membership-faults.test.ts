/** Runs the whole protocol against faults of nodes and network, under virtual time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedFleet, type SimulatedNode } from '../../trials/simulated-fleet.js';

const SECOND_MS = 1_000;
const LATER_START = 1_800_000_000_000;
const EARLIER_START = 1_600_000_000_000;

type FaultCase = (fleet: SimulatedFleet, size: number) => void;

function createFleet(size: number, seed: number): SimulatedFleet {
  const fleet = new SimulatedFleet(seed);
  fleet.addNodes(size);
  fleet.run(20 * SECOND_MS);
  assert.ok(fleet.hasConverged(), 'the fleet has formed');
  assert.equal(fleet.countEvents('suspected'), 0);
  return fleet;
}

function assertConverges(fleet: SimulatedFleet, limitMs: number, what: string): void {
  const tookMs = fleet.runUntil(() => fleet.hasConverged(), limitMs);
  assert.ok(tookMs <= limitMs, `${what}: views agree within ${limitMs} ms`);
}

function others(fleet: SimulatedFleet, id: string): SimulatedNode[] {
  return fleet.running().filter((node) => node.id !== id);
}

function isFailedEverywhere(fleet: SimulatedFleet, id: string): boolean {
  return others(fleet, id).every(({ protocol }) => protocol.find(id)?.state === 'failed');
}

function assertFailsEverywhere(fleet: SimulatedFleet, id: string, limitMs: number): void {
  const tookMs = fleet.runUntil(() => isFailedEverywhere(fleet, id), limitMs);
  assert.ok(tookMs <= limitMs, `${id} is failed everywhere within ${limitMs} ms`);
}

/** Whether every node sees its side of a partition as live and the other side as failed. */
function isSplit(fleet: SimulatedFleet, isCutOff: (node: SimulatedNode) => boolean): boolean {
  return fleet.running().every((viewer) =>
    fleet.running().every((node) => {
      const isFailed = viewer.protocol.find(node.id)?.state === 'failed';
      return isFailed === (isCutOff(viewer) !== isCutOff(node));
    }),
  );
}

const CASES: Record<string, FaultCase> = {
  'a killed node is failed everywhere within 10 s': (fleet) => {
    fleet.kill('node-2');
    assertFailsEverywhere(fleet, 'node-2', 10 * SECOND_MS);
    assertConverges(fleet, SECOND_MS, 'the rest');
  },
  'a node that pauses briefly is suspected at most, and refutes it': (fleet) => {
    fleet.pause('node-2');
    fleet.run(2.5 * SECOND_MS);
    fleet.resume('node-2');
    assertConverges(fleet, 2 * SECOND_MS, 'after the pause');
    assert.equal(fleet.countEvents('failed'), 0);
  },
  'a node that was paused until it failed rejoins on its own': (fleet, size) => {
    fleet.pause('node-2');
    assertFailsEverywhere(fleet, 'node-2', 10 * SECOND_MS);
    fleet.run(60 * SECOND_MS);
    fleet.resume('node-2');
    assertConverges(fleet, 5 * SECOND_MS, 'after the pause');
    fleet.run(30 * SECOND_MS);
    assert.ok(fleet.hasConverged());
    // The paused node itself suspects no member because of the messages that it missed.
    assert.equal(fleet.countEvents('failed'), size - 1);
  },
  'a resumed node fails no member whose refutation it has not read yet': (fleet) => {
    const suspecting = fleet.node('node-2');
    fleet.pause('node-3');
    const isSuspected = (): boolean => suspecting.protocol.find('node-3')?.state === 'suspect';
    assert.ok(fleet.runUntil(isSuspected, 10 * SECOND_MS) <= 10 * SECOND_MS);
    fleet.pause('node-2');
    fleet.resume('node-3');
    fleet.run(30 * SECOND_MS);
    fleet.resume('node-2');
    assertConverges(fleet, 5 * SECOND_MS, 'after both pauses');
    assert.equal(suspecting.events.includes('failed node-3'), false);
  },
  'loss in one direction between two nodes raises no suspicion': (fleet) => {
    fleet.isCut = (from, to) => from.id === 'node-2' && to.id === 'node-1';
    fleet.run(60 * SECOND_MS);
    assert.ok(fleet.hasConverged());
    assert.equal(fleet.countEvents('suspected'), 0);
  },
  'a node whose messages are lost is failed, and returns': (fleet) => {
    fleet.isCut = (from) => from.id === 'node-2';
    assertFailsEverywhere(fleet, 'node-2', 30 * SECOND_MS);
    fleet.isCut = () => false;
    assertConverges(fleet, 30 * SECOND_MS, 'after the loss');
  },
  'a node that receives nothing is failed, and returns': (fleet) => {
    fleet.isCut = (_from, to) => to.id === 'node-2';
    assertFailsEverywhere(fleet, 'node-2', 30 * SECOND_MS);
    fleet.isCut = () => false;
    assertConverges(fleet, 30 * SECOND_MS, 'after the loss');
  },
  'a partitioned zone continues on its own and rejoins': (fleet) => {
    const isCutOff = ({ zone }: SimulatedNode): boolean => zone === 'zone-2';
    fleet.isCut = (from, to) => isCutOff(from) !== isCutOff(to);
    const splitMs = fleet.runUntil(() => isSplit(fleet, isCutOff), 60 * SECOND_MS);
    assert.ok(splitMs <= 60 * SECOND_MS, 'each side considers the other failed');
    fleet.run(10 * 60 * SECOND_MS);
    assert.ok(isSplit(fleet, isCutOff), 'each side stays whole');
    const failed = fleet.countEvents('failed');
    fleet.isCut = () => false;
    assertConverges(fleet, 30 * SECOND_MS, 'after the partition');
    fleet.run(30 * SECOND_MS);
    assert.ok(fleet.hasConverged(), 'and stays so');
    assert.equal(fleet.countEvents('failed'), failed, 'rejoining fails no member');
  },
  '30% loss leaves no lasting false failure': (fleet) => {
    fleet.lossRate = 0.3;
    for (let round = 0; round < 4; round += 1) {
      fleet.run(30 * SECOND_MS);
      const tookMs = fleet.runUntil(
        () =>
          fleet.running().every(({ protocol }) => protocol.members().length === fleet.nodes.size),
        40 * SECOND_MS,
      );
      assert.ok(tookMs <= 40 * SECOND_MS, `round ${round}: no node stays failed`);
    }
    fleet.lossRate = 0;
    assertConverges(fleet, 40 * SECOND_MS, 'after the loss');
  },
  'a restarted process replaces its earlier incarnation': (fleet) => {
    fleet.kill('node-2');
    fleet.addNode({ id: 'node-2', address: '10.0.0.2:7000', incarnation: LATER_START });
    const isKnown = (): boolean =>
      fleet.running().every(({ protocol }) => protocol.find('node-2')?.incarnation === LATER_START);
    assert.ok(fleet.runUntil(isKnown, 3 * SECOND_MS) <= 3 * SECOND_MS);
    assertConverges(fleet, SECOND_MS, 'after the restart');
    assert.equal(fleet.countEvents('failed'), 0);
  },
  'a quick restart raises no suspicion of the new incarnation': (fleet) => {
    for (let round = 1; round <= 10; round += 1) {
      const { address, zone } = fleet.node('node-2');
      fleet.kill('node-2');
      fleet.run(0.8 * SECOND_MS);
      fleet.addNode({ id: 'node-2', address, zone, incarnation: LATER_START + round });
      fleet.run(5 * SECOND_MS);
    }
    assert.equal(fleet.countEvents('suspected'), 0);
  },
  'a restarted process whose clock is behind takes a higher incarnation than its earlier one': (
    fleet,
  ) => {
    const earlier = fleet.node('node-2').protocol.self().incarnation;
    fleet.kill('node-2');
    fleet.addNode({ id: 'node-2', address: '10.0.0.2:7000', incarnation: EARLIER_START });
    const isKnown = (): boolean =>
      fleet.running().every(({ protocol }) => {
        const { incarnation } = protocol.find('node-2')!;
        return incarnation > earlier;
      });
    assert.ok(fleet.runUntil(isKnown, 10 * SECOND_MS) <= 10 * SECOND_MS);
    assertConverges(fleet, SECOND_MS, 'after the restart');
  },
  'a replacement under a new name takes over the address at once': (fleet) => {
    fleet.kill('node-2');
    fleet.addNode({ id: 'new-2', address: '10.0.0.2:7000', incarnation: LATER_START });
    assertConverges(fleet, 3 * SECOND_MS, 'after the replacement');
    assert.ok(
      isFailedEverywhere(fleet, 'node-2') ||
        fleet.node('new-2').protocol.find('node-2') === undefined,
    );
  },
  'a replacement whose clock is behind takes over the address once the old node has failed': (
    fleet,
  ) => {
    fleet.kill('node-2');
    fleet.addNode({ id: 'new-2', address: '10.0.0.2:7000', incarnation: EARLIER_START });
    assertConverges(fleet, 30 * SECOND_MS, 'after the replacement');
  },
  'a planned stop is known everywhere within 3 s and is no failure': (fleet) => {
    const leaver = fleet.node('node-2');
    fleet.applyInput(leaver, (now) => leaver.protocol.leave(now));
    const isKnown = (): boolean =>
      others(fleet, 'node-2').every(({ protocol }) => {
        const member = protocol.find('node-2');
        return member?.state === 'leaving' && !member.ready;
      });
    assert.ok(fleet.runUntil(isKnown, 3 * SECOND_MS) <= 3 * SECOND_MS);
    assert.ok(fleet.runUntil(() => leaver.protocol.isLeaveSpread, 3 * SECOND_MS) <= 3 * SECOND_MS);
    fleet.kill('node-2');
    assertConverges(fleet, 10 * SECOND_MS, 'after the stop');
    assert.equal(fleet.countEvents('failed'), 0);
  },
  'leaving targets and rules versions are known everywhere within 3 s': (fleet) => {
    const node = fleet.node('node-2');
    const facts = { leavingTargets: ['target-1'], configVersion: 5 };
    fleet.applyInput(node, (now) => node.protocol.update(now, facts));
    const isKnown = (): boolean =>
      others(fleet, 'node-2').every(({ protocol }) => {
        const member = protocol.find('node-2');
        return member?.configVersion === 5 && member.leavingTargets[0] === 'target-1';
      });
    assert.ok(fleet.runUntil(isKnown, 3 * SECOND_MS) <= 3 * SECOND_MS);
  },
  'the rules version in force at each node is known everywhere within 8 s': (fleet) => {
    for (const node of fleet.running()) {
      fleet.applyInput(node, (now) => node.protocol.update(now, { configVersion: 6 }));
    }
    const isKnown = (): boolean =>
      fleet
        .running()
        .every(({ protocol }) =>
          protocol.members().every(({ configVersion }) => configVersion === 6),
        );
    assert.ok(fleet.runUntil(isKnown, 8 * SECOND_MS) <= 8 * SECOND_MS);
  },
  'stale gossip does not bring back an evicted member': (fleet) => {
    const stale = fleet.node('node-2').protocol.self();
    const viewer = fleet.node('node-1');
    fleet.kill('node-2');
    fleet.run(3 * 3_600 * SECOND_MS);
    assert.equal(viewer.protocol.find('node-2'), undefined);
    fleet.applyInput(viewer, (now) =>
      viewer.protocol.onMessage(now, '10.0.0.3:7000', {
        type: 'gossip',
        from: 'node-3',
        incarnation: fleet.node('node-3').protocol.self().incarnation,
        configVersion: 0,
        stateHash: 0,
        updates: [{ type: 'facts', facts: stale, leaving: false }],
      }),
    );
    assert.equal(viewer.protocol.find('node-2'), undefined);
  },
};

const LARGE_FLEET_CASES: Record<string, FaultCase> = {
  'a rack of nodes lost at once is failed everywhere': (fleet, size) => {
    const rack = fleet
      .running()
      .map(({ id }) => id)
      .slice(2, 2 + Math.floor(size / 3));
    fleet.kill(...rack);
    assertConverges(fleet, 30 * SECOND_MS, 'after the loss');
    assert.equal(fleet.countEvents('failed'), rack.length * (size - rack.length));
  },
  'the same rack lost, replaced and lost again': (fleet, size) => {
    const rack = fleet
      .running()
      .map(({ id }) => id)
      .slice(2, 2 + Math.floor(size / 4));
    for (const round of [1, 2]) {
      fleet.kill(...rack);
      assertConverges(fleet, 30 * SECOND_MS, `loss ${round}`);
      for (const id of rack) {
        const { address, zone } = fleet.node(id);
        fleet.addNode({ id, address, zone, incarnation: LATER_START + round });
      }
      assertConverges(fleet, 30 * SECOND_MS, `return ${round}`);
    }
  },
};

for (const [size, seed] of [
  [3, 11],
  [12, 12],
  [60, 13],
] as const) {
  const cases = size < 10 ? CASES : { ...CASES, ...LARGE_FLEET_CASES };
  for (const [name, run] of Object.entries(cases)) {
    // This case takes hours of virtual time; a small fleet shows the same.
    if (size === 60 && name.startsWith('stale gossip')) continue;
    test(`${size} nodes: ${name}`, () => {
      run(createFleet(size, seed), size);
    });
  }
}
