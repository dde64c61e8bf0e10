/**
 * What users saw: all targets of a service ended again and again, and while they were away nothing of
 * it was served. Order of events: a target that began to run one certain request ended; the node sent
 * the request to another target, which ended too; the same request came again, at any node, and each
 * time ended the targets that were back. Nothing was remembered between tries or told to other nodes.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ReceivedRequest } from '../platform/stand-ins/target-stand-in.js';
import { Mesh, type CallerAnswer, type CallerRequest, type Machine } from './stand-ins/mesh.js';

/** Time within which news reach all nodes that are in touch, in milliseconds. */
const CONTACT_MS = 3_000;
/** Runs of a request under which three targets have ended that may still come after that. */
const MAX_LATE_RUNS = 3;
/** Time that a target is away after its end, in milliseconds. */
const DOWN_MS = 700;
const RUN_MS = 10;
const REQUEST_GAP_MS = 150;
const STORM_MS = 8_000;
const HEARTBEAT_INTERVAL_MS = 500;
const SERVED = 200;
/** Nodes whose target is of another service. */
const CALLERS = 2;
const ENDING_BODY = 'the body that ends targets';

const ENDING_READ: CallerRequest = { method: 'GET', path: '/read/ending', body: ENDING_BODY };
const ENDING_WRITE: CallerRequest = { method: 'POST', path: '/write/ending', body: ENDING_BODY };

/** Targets that end under certain requests and are back after a while under another identity. */
class EndingTargets {
  /** Times at which targets ended, in milliseconds. */
  readonly ends: number[] = [];
  /** Times at which the requests reached targets. */
  readonly runs: number[] = [];
  private lives = 0;
  private stopped = false;

  constructor(private readonly machines: readonly Machine[]) {
    for (const machine of machines) {
      machine.target.behaviour = (request) => this.onRequest(machine, request);
    }
  }

  /** Requests that reached targets later than the news of the third end had reached all nodes. */
  get lateRuns(): number {
    const third = this.ends[2] ?? Infinity;
    return this.runs.filter((at) => at > third + CONTACT_MS).length;
  }

  private onRequest({ target, registration }: Machine, { path, body }: ReceivedRequest): boolean {
    if (!path.endsWith('/ending') || body !== ENDING_BODY) return false;
    this.runs.push(performance.now());
    setTimeout(() => {
      if (!target.isListening) return;
      this.ends.push(performance.now());
      target.close();
      this.lives += 1;
      setTimeout(() => void this.comeBack(target, registration, this.lives), DOWN_MS);
    }, RUN_MS);
    return true;
  }

  /** No target comes back from now on. */
  stop(): void {
    this.stopped = true;
  }

  private async comeBack(
    target: Machine['target'],
    registration: string,
    life: number,
  ): Promise<void> {
    if (this.stopped) return;
    target.restart(`${target.id.split('.')[0]}.${life}`);
    await target.listenAgain();
    await target.beat(registration);
  }
}

interface Storm {
  readonly mesh: Mesh;
  readonly targets: EndingTargets;
  stop(): Promise<void>;
}

async function startStorm(targets: number): Promise<Storm> {
  const mesh = new Mesh();
  await mesh.start();
  mesh.putRules(1, [
    { path: '/read/', service: 'reader' },
    { path: '/write/', service: 'reader', kind: 'non_idempotent' },
  ]);
  const options = { zone: 'z', workMs: 40, slots: 8 };
  for (let index = 0; index < targets; index += 1) {
    await mesh.add({ ...options, service: 'reader' });
  }
  const readers = [...mesh.machines];
  for (let index = 0; index < CALLERS; index += 1) {
    await mesh.add({ ...options, service: 'front' });
  }
  mesh.machines.forEach(({ target }, index) => target.restart(`target-${index}`));
  await mesh.beatAll();
  for (const machine of mesh.machines) {
    await mesh.sendUntil(machine, { path: '/read/warm' }, ({ status }) => status === SERVED);
  }
  const endingTargets = new EndingTargets(readers);
  const heartbeats = setInterval(() => {
    for (const { target, registration } of mesh.machines) {
      if (target.isListening) void target.beat(registration);
    }
  }, HEARTBEAT_INTERVAL_MS);
  const stop = async (): Promise<void> => {
    clearInterval(heartbeats);
    endingTargets.stop();
    await mesh.stop();
  };
  return { mesh, targets: endingTargets, stop };
}

/** Sends a request again and again at all nodes in turn; resolves with the answers. */
async function repeatAtAllNodes(
  mesh: Mesh,
  request: (index: number) => CallerRequest,
  forMs: number,
  gapMs: number,
): Promise<readonly CallerAnswer[]> {
  const answers: Promise<CallerAnswer>[] = [];
  const end = performance.now() + forMs;
  for (let index = 0; performance.now() < end; index += 1) {
    const machine = mesh.machines[index % mesh.machines.length]!;
    answers.push(mesh.send(machine, { deadlineMs: 2_000, ...request(index) }));
    await sleep(gapMs);
  }
  return Promise.all(answers);
}

test('a request under which three targets have ended is kept from the others', async () => {
  for (const ending of [ENDING_READ, ENDING_WRITE]) {
    const storm = await startStorm(4);
    try {
      await repeatAtAllNodes(storm.mesh, () => ending, STORM_MS, REQUEST_GAP_MS);
      const { runs, ends, lateRuns } = storm.targets;
      const seen = `${ending.method}: ${runs.length} runs, ${ends.length} ends, ${lateRuns} late runs`;
      assert.ok(ends.length >= 3, seen);
      assert.ok(lateRuns <= MAX_LATE_RUNS, seen);
    } finally {
      await storm.stop();
    }
  }
});
