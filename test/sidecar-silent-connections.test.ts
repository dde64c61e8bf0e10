/** Nodes whose open connections go silent, without a reset, while new ones work. */
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { Mesh, type Machine } from './stand-ins/mesh.js';

const NODES = 8;
/** Above the size from which nodes rely on others for new rules. */
const LARGE = 28;
/** Rules have to be in force this long after their acknowledgement, in milliseconds. */
const APPLY_MS = 2_000;
/** From this time after a fault on its connections a node keeps all bounds, in milliseconds. */
const SETTLING_MS = 3_000;
/** Requests that begin later after the fault than this have to find a target, in milliseconds. */
const FIND_TARGET_MS = 1_500;
/** A target that joins has to get requests this long after its registration, in milliseconds. */
const JOIN_MS = 4_000;
const OK = 200;

let mesh: Mesh;
let version = 0;

before(async () => {
  mesh = new Mesh({}, { relayed: true });
  await mesh.start();
  changeRules();
  for (let count = 0; count < NODES; count += 1) {
    const service = count % 2 === 0 ? 'a' : 'b';
    const workOf = ({ path }: { readonly path: string }): number => (path === '/a/slow' ? 100 : 5);
    await mesh.add({ service, zone: `z${count % 3}`, slots: 20, workMs: 5, workOf });
  }
  await mesh.sendHeartbeats();
  for (const machine of mesh.machines) {
    for (const path of ['/a/x', '/b/x']) {
      await mesh.sendUntil(machine, { path }, ({ status }) => status === OK);
    }
  }
});

after(() => mesh.stop());

/** Puts a new version into the store and returns a path that only this version serves. */
function changeRules(): string {
  version += 1;
  const added = `/added-${version}/`;
  mesh.putRules(version, [
    { path: '/a/', service: 'a' },
    { path: '/b/', service: 'b' },
    { path: '/joining/', service: 'c' },
    { path: added, service: 'a' },
  ]);
  return `${added}x`;
}

async function isServed(machine: Machine, path: string, deadlineMs = 1_000): Promise<boolean> {
  const { status } = await mesh.send(machine, { path, deadlineMs });
  return status === OK;
}

/** Nodes that refuse the path as unknown. */
async function findOutdated(path: string): Promise<readonly string[]> {
  const answers = await Promise.all(
    mesh.machines.map(async (machine) => {
      const { status } = await mesh.send(machine, { path, deadlineMs: 1_000 });
      return { id: machine.id, status };
    }),
  );
  return answers.filter(({ status }) => status === 404).map(({ id }) => id);
}

for (const share of [1, 0.5]) {
  test(`new rules are in force in time when ${share * 100}% of the open connections have gone silent`, async () => {
    // A wait for changes that has just begun is the longest to be silent.
    changeRules();
    await delay(500);
    mesh.silenceOpenConnections(share);
    await delay(SETTLING_MS - APPLY_MS);
    const path = changeRules();
    await delay(APPLY_MS);
    assert.deepEqual(await findOutdated(path), []);
  });
}

test('new rules are in force in time when connections have gone silent twice', async () => {
  changeRules();
  await delay(500);
  mesh.silenceOpenConnections();
  await delay(1_200);
  mesh.silenceOpenConnections();
  await delay(SETTLING_MS - APPLY_MS);
  const path = changeRules();
  await delay(APPLY_MS);
  assert.deepEqual(await findOutdated(path), []);
});

test('requests find a target soon after open connections have gone silent', async () => {
  for (const machine of mesh.machines) await mesh.sendUntil(machine, { path: '/a/x' }, isOk);
  mesh.silenceOpenConnections();
  const silentAt = performance.now();
  const failed: string[] = [];
  const requests: Promise<void>[] = [];
  while (performance.now() < silentAt + 2 * FIND_TARGET_MS) {
    const begunMs = performance.now() - silentAt;
    for (const machine of mesh.machines) {
      for (const path of ['/a/x', '/b/x']) {
        const request = isServed(machine, path).then((served) => {
          if (!served && begunMs > FIND_TARGET_MS) failed.push(`${machine.id} ${begunMs} ms`);
        });
        requests.push(request);
      }
    }
    await delay(100);
  }
  await Promise.all(requests);
  assert.deepEqual(failed, []);
});

test('a target that leaves after links between nodes have gone silent gets no requests of any node', async () => {
  for (const machine of mesh.machines) await mesh.sendUntil(machine, { path: '/a/x' }, isOk);
  for (const { relays } of mesh.machines) relays!.peers.silenceOpenConnections(0.7);
  await delay(SETTLING_MS);
  const path = changeRules();
  const { target, registration } = mesh.machines[0]!;
  assert.equal(await target.sendHeartbeat(registration, 'draining'), OK);
  await delay(APPLY_MS);
  const received = target.receivedCount;
  const send = (machine: Machine): Promise<boolean>[] =>
    Array.from({ length: 20 }, () => isServed(machine, '/a/x'));
  const served = await Promise.all(mesh.machines.flatMap(send));
  assert.ok(served.every((isServedNow) => isServedNow));
  assert.equal(target.receivedCount, received);
  assert.deepEqual(await findOutdated(path), []);
  target.restart('i-back');
  assert.equal(await target.sendHeartbeat(registration), OK);
});

test('requests are served soon after all kept connections to targets have gone silent', async () => {
  const send = (path: string): Promise<boolean> => isServed(mesh.machines[0]!, path, 5_000);
  // Opens many connections to each target.
  await Promise.all(Array.from({ length: 60 }, () => send('/a/slow')));
  for (const { relays } of mesh.machines) relays!.target.silenceOpenConnections();
  const silentAt = performance.now();
  const failed: string[] = [];
  const requests: Promise<void>[] = [];
  while (performance.now() < silentAt + 2 * FIND_TARGET_MS) {
    const begunAt = performance.now();
    const request = send('/a/x').then((served) => {
      const tookMs = performance.now() - begunAt;
      if (served && tookMs < FIND_TARGET_MS) return;
      const begunMs = begunAt - silentAt;
      if (begunMs > FIND_TARGET_MS) failed.push(`begun at ${begunMs} ms, took ${tookMs} ms`);
    });
    requests.push(request);
    await delay(25);
  }
  await Promise.all(requests);
  assert.deepEqual(failed, []);
});

test('a target that joins after open connections have gone silent gets requests in time', async () => {
  // Calls show a node that its links are silent.
  const callAll = (): Promise<unknown> =>
    Promise.all(mesh.machines.map((machine) => isServed(machine, '/a/x')));
  await callAll();
  mesh.silenceOpenConnections();
  const calls: Promise<unknown>[] = [];
  for (let count = 0; count < 10; count += 1) {
    calls.push(callAll());
    await delay(100);
  }
  const joining = await mesh.add({ service: 'c', zone: 'z0', slots: 20, workMs: 5 });
  assert.equal(await joining.target.sendHeartbeat(joining.registration), OK);
  const joinedAt = performance.now();
  for (const machine of mesh.machines) {
    await mesh.sendUntil(machine, { path: '/joining/x' }, isOk);
    const tookMs = performance.now() - joinedAt;
    assert.ok(tookMs < JOIN_MS, `${machine.id}: ${tookMs} ms`);
  }
  await Promise.all(calls);
});

test('new rules are in force in time in a large fleet whose open connections have gone silent', async () => {
  const fleet = new Mesh({}, { relayed: true });
  await fleet.start();
  try {
    fleet.putRules(1, [{ path: '/a/', service: 'a' }]);
    for (let count = 0; count < LARGE; count += 1) {
      await fleet.add({ service: 'a', zone: 'z', slots: 5, workMs: 1 });
    }
    await fleet.sendHeartbeats();
    // Nodes rely on the sources once they know that the fleet is large and have connected to them.
    await delay(10_000);
    const callsBefore = countStoreCalls(fleet);
    fleet.silenceOpenConnections();
    await delay(SETTLING_MS - APPLY_MS);
    fleet.putRules(2, [{ path: '/b/', service: 'a' }]);
    await delay(APPLY_MS);
    const answers = await Promise.all(
      fleet.machines.map((machine) => fleet.send(machine, { path: '/b/x', deadlineMs: 1_000 })),
    );
    assert.deepEqual(
      answers.filter(({ status }) => status === 404),
      [],
    );
    // Two checks of the rules of each node, one wait for rules and one for records begun again.
    const calls = countStoreCalls(fleet) - callsBefore;
    assert.ok(calls <= 4 * LARGE, `${calls} calls`);
  } finally {
    await fleet.stop();
  }
});

function countStoreCalls({ store }: Mesh): number {
  return [...store.calls.values()].reduce((sum, count) => sum + count, 0);
}

function isOk({ status }: { readonly status: number }): boolean {
  return status === OK;
}
