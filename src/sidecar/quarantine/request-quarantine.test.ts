/** Tests nodes that report crashes to each other, over links that the tests cut and open. */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import type { Failure } from '../../core/failure.js';
import { ResultCode } from '../../core/result-code.js';
import { ManualClock } from '../../kernel/clock.js';
import { Event } from '../../kernel/event.js';
import type { AttemptCall } from '../link/link-messages.js';
import type { QuarantineUpdate } from './quarantine-update.js';
import { keyOfCall } from './request-key.js';
import { RequestQuarantine, type Admission } from './request-quarantine.js';

const CAUSE = createCall('/cause');
const OTHER = createCall('/other');

function createCall(path: string, overrides: Partial<AttemptCall> = {}): AttemptCall {
  return {
    attemptId: 'a',
    requestId: 'a',
    service: 's',
    kind: 'k',
    rank: 0,
    idempotent: true,
    depth: 0,
    repeated: false,
    committed: false,
    timeLeftMs: 5_000,
    dueInMs: 5_000,
    callerService: 'c',
    method: 'GET',
    path,
    fields: ['Accept', '*', 'Host', 'h'],
    body: new Uint8Array(0),
    ...overrides,
  };
}

/** Nodes in a ring, with links between neighbours. */
class Ring {
  readonly clock = new ManualClock();
  readonly events: Event[] = [];
  readonly nodes: RequestQuarantine[] = [];
  readonly cut = new Set<number>();
  sent = 0;
  /** Node whose target runs trials. */
  trialNode: string | undefined = 'node-4';

  constructor(size: number) {
    for (let index = 0; index < size; index += 1) this.nodes.push(this.createNode(index));
  }

  /** Restarts a node without state and opens its links. */
  restart(index: number): void {
    this.nodes[index] = this.createNode(index);
    this.connect(index);
  }

  /** Opens the links of a node: both sides send what they know. */
  connect(index: number): void {
    this.cut.delete(index);
    for (const neighbour of this.neighboursOf(index)) {
      this.deliver(neighbour, index, this.nodes[neighbour]!.currentUpdate());
      this.deliver(index, neighbour, this.nodes[index]!.currentUpdate());
    }
  }

  /** Lets the targets of nodes crash while they run a request. */
  crash(call: AttemptCall, ...indexes: number[]): void {
    for (const index of indexes) {
      this.nodes[index]!.noteTargetCrash(`incarnation of ${index}`, [keyOfCall(call)]);
    }
  }

  private createNode(index: number): RequestQuarantine {
    return new RequestQuarantine({
      clock: this.clock,
      log: { emit: (event) => this.events.push(event) },
      trialNodeOf: () => this.trialNode,
      broadcast: (update) => {
        for (const to of this.neighboursOf(index)) this.deliver(index, to, update);
      },
    });
  }

  private neighboursOf(index: number): readonly number[] {
    const size = this.nodes.length;
    return [(index + 1) % size, (index + size - 1) % size];
  }

  private deliver(from: number, to: number, update: QuarantineUpdate | undefined): void {
    if (update === undefined || this.cut.has(from) || this.cut.has(to)) return;
    this.sent += 1;
    this.nodes[to]!.onUpdate(update, (reply) => {
      this.deliver(to, from, reply);
    });
  }
}

function refusalOf(admission: Admission): Failure | undefined {
  return admission.type === 'refused' ? admission.failure : undefined;
}

let ring: Ring;

beforeEach(() => {
  ring = new Ring(6);
});

test('crashes that three nodes have seen, one each, add up at all nodes', () => {
  ring.crash(CAUSE, 0, 2, 4);
  for (const node of ring.nodes) {
    const refusal = refusalOf(node.admit(CAUSE));
    assert.equal(refusal?.code, ResultCode.RequestQuarantined);
    assert.equal(refusal.execution, 'not-run');
    assert.equal(refusal.retryAfterMs, 30_000);
    assert.equal(node.admitRun(CAUSE)?.code, ResultCode.RequestQuarantined);
    assert.equal(node.admit(OTHER).type, 'routed');
  }
});

test('the update about a crash crosses each link at most twice', () => {
  ring.crash(CAUSE, 0);
  assert.ok(ring.sent <= 12, `${ring.sent} messages`);
});

test('a request may be retried after one crash, and not after two', () => {
  ring.crash(CAUSE, 0);
  assert.ok(ring.nodes[3]!.mayRetry(CAUSE));
  assert.equal(ring.nodes[3]!.admit(CAUSE).type, 'routed');
  ring.crash(CAUSE, 1);
  assert.ok(!ring.nodes[3]!.mayRetry(CAUSE));
  assert.equal(refusalOf(ring.nodes[3]!.admit(CAUSE))?.code, ResultCode.RequestQuarantined);
});

test('trials of all nodes go to one target, which runs the first of them', () => {
  ring.crash(CAUSE, 0, 1);
  ring.clock.advance(5_000);
  for (const node of ring.nodes) {
    assert.deepEqual(node.admit(CAUSE), { type: 'trial', node: ring.trialNode });
  }
  const trialNode = ring.nodes[4]!;
  assert.equal(trialNode.admitRun(CAUSE), undefined);
  assert.equal(trialNode.admitRun(CAUSE)?.code, ResultCode.RequestQuarantined);
  ring.clock.advance(5_000);
  assert.equal(trialNode.admitRun(CAUSE), undefined);
});

test('a request remains held while the target for its trial is unreachable', () => {
  ring.trialNode = undefined;
  ring.crash(CAUSE, 0, 1);
  ring.clock.advance(5_000);
  assert.equal(refusalOf(ring.nodes[3]!.admit(CAUSE))?.execution, 'not-run');
});

test('a restarted node receives the crashes when its links open', () => {
  ring.crash(CAUSE, 0, 2, 4);
  ring.restart(5);
  assert.equal(ring.nodes[5]!.admitRun(CAUSE)?.code, ResultCode.RequestQuarantined);
});

test('a node that saw a crash while it was cut off reports it when its links open again', () => {
  ring.cut.add(0);
  ring.crash(CAUSE, 0, 2, 4);
  assert.equal(ring.nodes[3]!.admitRun(CAUSE), undefined);
  ring.connect(0);
  for (const node of ring.nodes) assert.ok(node.admitRun(CAUSE) !== undefined);
});

test('a request that some target answers is cleared at all nodes', () => {
  ring.crash(OTHER, 0, 1, 2);
  ring.nodes[4]!.noteServed(OTHER);
  for (const node of ring.nodes) assert.equal(node.admit(OTHER).type, 'routed');
  assert.ok(ring.events.includes(Event.QuarantineLifted));
});

test('a request that was answered before is cleared by a node that knows it', () => {
  ring.nodes[3]!.noteServed(OTHER);
  ring.crash(OTHER, 0, 1, 2);
  for (const node of ring.nodes) assert.equal(node.admit(OTHER).type, 'routed');
});

test('each node logs each verdict on a request once', () => {
  ring.crash(CAUSE, 0, 2, 4);
  const logged = ring.events.filter((event) => event === Event.RequestQuarantined).length;
  assert.equal(logged, 2 * ring.nodes.length, 'held, then barred');
});

for (const [name, overrides] of [
  ['another path', { path: '/cause?' }],
  ['another body', { body: Buffer.from('x') }],
  ['another caller', { callerService: 'd' }],
  ['another method', { method: 'POST' }],
  ['another host', { fields: ['Host', 'i'] }],
] as const) {
  test(`a request with ${name} is another request`, () => {
    assert.notDeepEqual(keyOfCall({ ...CAUSE, ...overrides }), keyOfCall(CAUSE));
  });
}

test('a request that is sent again with other ids is the same request', () => {
  const again = { ...CAUSE, attemptId: 'b', requestId: 'b', timeLeftMs: 1, rank: 3 };
  assert.deepEqual(keyOfCall(again), keyOfCall(CAUSE));
});
