/** Measures the traffic that membership causes at a node, with the real codec. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_DATAGRAM_BYTES } from '../../membership/datagram-codec.js';
import { SimulatedFleet } from '../../trials/simulated-fleet.js';

const SECOND_MS = 1_000;
const SETTLE_MS = 10 * SECOND_MS;
const MEASURE_MS = 10 * SECOND_MS;

/** Bytes a second, sent and received, of the busiest node while `disturb` takes effect. */
function measure(fleet: SimulatedFleet, disturb: () => void): number {
  for (const node of fleet.nodes.values()) node.bytes = 0;
  fleet.countBytes = true;
  disturb();
  fleet.run(MEASURE_MS);
  fleet.countBytes = false;
  const busiest = Math.max(...fleet.running().map(({ bytes }) => bytes));
  return (busiest * SECOND_MS) / MEASURE_MS;
}

test('traffic per node stays about constant from 10 to 300 nodes and below the budget', () => {
  const BUDGET_BYTES_PER_SECOND = 21 * 1_024;
  const idle: number[] = [];
  for (const size of [10, 100, 300]) {
    const fleet = new SimulatedFleet(7);
    fleet.addFormedNodes(size);
    fleet.run(SETTLE_MS);
    idle.push(measure(fleet, () => {}));
    const ids = fleet.running().map(({ id }) => id);
    const withRackLost = measure(fleet, () => {
      fleet.kill(...ids.slice(2, 2 + Math.floor(size / 10)));
    });
    assert.ok(
      withRackLost < BUDGET_BYTES_PER_SECOND,
      `${withRackLost} B/s with a tenth lost at ${size} nodes`,
    );
    assert.ok(fleet.largestDatagram <= MAX_DATAGRAM_BYTES, `datagram of ${fleet.largestDatagram}`);
  }
  const [smallest, , largest] = idle as [number, number, number];
  assert.ok(largest < 2 * smallest, `idle traffic in B/s: ${idle.join(', ')}`);
});
