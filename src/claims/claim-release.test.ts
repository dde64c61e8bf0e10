/** Claims that are released while a planned stop changes the epoch leave their keys free. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createClaimFleet,
  VIRTUAL_STEP_MS,
  type ClaimFleet,
} from '../../test/support/claim-fleet.js';

/** Claims keys at one node or at both at once, and releases the granted claims. */
async function claimThroughout(
  fleet: ClaimFleet,
  drained: string,
  keys: number,
): Promise<string[]> {
  const claimants = ['a', 'b', 'c'].filter((node) => node !== drained);
  const claimed: string[] = [];
  const ends: Promise<void>[] = [];
  const claimOnce = async (node: string, key: string): Promise<void> => {
    const request = fleet.createRequest(key, `${node}-${key}`);
    const task = fleet.nodes.get(node)!;
    if ((await task.claim(request)).type === 'granted') task.release(request);
  };
  for (let serial = 0; serial < keys; serial += 1) {
    const key = fleet.createKey(0, serial);
    claimed.push(key);
    const nodes = serial % 3 === 2 ? claimants : [claimants[serial % 3]!];
    for (const node of nodes) ends.push(claimOnce(node, key));
    await fleet.advance(VIRTUAL_STEP_MS);
  }
  await fleet.settle(Promise.all(ends));
  return claimed;
}

for (const delayMs of [1, 7, 20, 60]) {
  test(`after a planned stop no released claim keeps its key, messages take ${delayMs} ms`, async () => {
    const fleet = await createClaimFleet();
    fleet.delayAll(delayMs);
    const drained = fleet.nodes.get('a')!.drain();
    const claimed = await claimThroughout(fleet, 'a', 100);
    await fleet.settle(drained);
    fleet.kill('a');
    await fleet.advance(10_000);
    const kept: string[] = [];
    for (const key of claimed) {
      const decision = await fleet.claim('b', key, `again-${key}`);
      if (decision.type !== 'granted') kept.push(`${key} ${decision.type}`);
    }
    assert.deepEqual(kept, []);
  });
}
