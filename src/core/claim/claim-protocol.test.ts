/**
 * Replays the actions of spec/claim.pml and spec/claim-placement.pml on the real state machines in
 * random order, with late and repeated messages, restarts and changes of epoch. The same runs on
 * state machines with one rule removed must break the property.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ClaimRound } from './claim-coordinator.js';
import { ClaimReplica } from './claim-replica.js';
import { ClaimTable, type TableSnapshot } from './claim-table.js';
import { EpochChange } from './epoch-change.js';
import { agree, type AgreementRule, type PlacementRecord } from './placement.js';
import type { ReplicaMemory, ReplicaReply, ReplicaRequest } from './replica-messages.js';

const NODES = ['n0', 'n1', 'n2', 'n3'];
const OLD_MEMBERS = ['n0', 'n1', 'n2'];
const NEXT_MEMBERS = [
  ['n0', 'n1', 'n3'],
  ['n1', 'n2', 'n3'],
];
const KEY = 'tenant/service/key';
const WALL_NOW_MS = 1_000;
const MAX_RESTARTS = 2;
const MAX_COORDINATORS = 4;

/** Minimum number of schedules that end with a free key, so that the check is not vacuous. */
const MIN_FREE_SCHEDULES = 100;

/** A rule that a mutation removes. */
type Mutation =
  | 'no incarnation check'
  | 'votes before it has read all'
  | 'dispatches after giving up'
  | 'releases after dispatch'
  | 'new members start empty'
  | 'recovers without the promise';

/** A replica that votes as soon as it has read one other member. */
class EarlyVotingReplica extends ClaimReplica {
  protected override mustReadMore(): boolean {
    return false;
  }
}

/** A replica that reads the claims, but not the promise that stopped the epoch. */
class PromiseLosingReplica extends ClaimReplica {
  protected override mergeMemory(memory: ReplicaMemory): void {
    super.mergeMemory({ table: memory.table });
  }
}

interface Coordinator {
  readonly attemptId: string;
  readonly round: ClaimRound;
  phase: 'collecting' | 'dispatched' | 'gave-up';
  /** Members that have confirmed the release, with the epoch. */
  readonly confirmed: Set<string>;
  /** Whether all members of one epoch have confirmed; then the release is not sent again. */
  delivered: boolean;
}

/** Parameters of an action: who acts, and on which node. */
interface Choice {
  /** Coordinator, proposer or reading node. */
  readonly actor: number;
  /** Node that handles the message. */
  readonly node: number;
  /** Whether the reply arrives late (or never) instead of at once. */
  readonly late: boolean;
}

/** Replicas, coordinators and proposers with the replies in flight. */
class Simulation {
  dispatches = 0;
  readonly decided = new Set<string>();
  private readonly replicas = new Map<string, ClaimReplica>();
  private readonly coordinators = new Map<number, Coordinator>();
  private readonly changes = new Map<number, EpochChange>();
  private readonly lateReplies: (() => void)[] = [];
  private readonly first: PlacementRecord;
  private next: PlacementRecord | undefined;
  private readonly installed = new Set<string>();
  private restarts = 0;

  constructor(private readonly mutation?: Mutation) {
    const members = OLD_MEMBERS.map((nodeId) => ({ nodeId, incarnation: 1 }));
    this.first = { epoch: 1, members, fresh: true, floorMs: 0 };
    for (const nodeId of NODES) this.startReplica(nodeId, 1);
  }

  /** Carries out one action. */
  act(action: Action, choice: Choice): void {
    this[action](choice);
  }

  private get rule(): AgreementRule {
    return this.mutation === 'no incarnation check' ? (a, b) => a.epoch === b.epoch : agree;
  }

  private startReplica(nodeId: string, incarnation: number): void {
    const votesEarly = this.mutation === 'votes before it has read all';
    const losesPromise = this.mutation === 'recovers without the promise';
    const type = votesEarly
      ? EarlyVotingReplica
      : losesPromise
        ? PromiseLosingReplica
        : ClaimReplica;
    const replica = new type({ nodeId, incarnation });
    this.replicas.set(nodeId, replica);
    replica.observe(this.first);
  }

  private nodeOf(choice: Choice): string {
    return NODES[choice.node % NODES.length]!;
  }

  /** Delivers a message to a node; its reply arrives now, or late and perhaps repeatedly. */
  private send(
    choice: Choice,
    request: ReplicaRequest,
    onReply: (reply: ReplicaReply) => void,
  ): void {
    const reply = this.replicas.get(this.nodeOf(choice))!.handle(request, WALL_NOW_MS);
    if (choice.late) this.lateReplies.push(() => onReply(reply));
    else onReply(reply);
  }

  hasGivenUp(choice: Choice): boolean {
    return this.coordinators.get(choice.actor % MAX_COORDINATORS)?.phase === 'gave-up';
  }

  claim(choice: Choice): void {
    const index = choice.actor % MAX_COORDINATORS;
    const record = index % 2 === 0 ? this.first : this.next;
    if (record === undefined) return;
    let coordinator = this.coordinators.get(index);
    if (coordinator === undefined) {
      const round = new ClaimRound(record, this.rule);
      coordinator = {
        ...{ attemptId: `attempt-${index}`, round, phase: 'collecting' },
        ...{ confirmed: new Set(), delivered: false },
      };
      this.coordinators.set(index, coordinator);
    }
    const { attemptId, round } = coordinator;
    const subject = { key: KEY, issuedAtMs: 0, fingerprint: 'f', attemptId };
    this.send(choice, { type: 'claim', epoch: round.record.epoch, subject }, (reply) => {
      if (reply.type === 'granted') round.onReply(reply.vote.nodeId, reply);
    });
  }

  decide(choice: Choice): void {
    const coordinator = this.coordinators.get(choice.actor % MAX_COORDINATORS);
    if (coordinator === undefined || coordinator.phase === 'dispatched') return;
    if (coordinator.round.verdict().type !== 'granted') return;
    coordinator.phase = 'dispatched';
    this.dispatches += 1;
  }

  giveUp(choice: Choice): void {
    const coordinator = this.coordinators.get(choice.actor % MAX_COORDINATORS);
    if (coordinator?.phase !== 'collecting') return;
    coordinator.phase = 'gave-up';
    if (this.mutation !== 'dispatches after giving up') coordinator.round.giveUp();
  }

  release(choice: Choice): void {
    const coordinator = this.coordinators.get(choice.actor % MAX_COORDINATORS);
    const releases = this.mutation === 'releases after dispatch' ? 'dispatched' : 'gave-up';
    if (coordinator?.phase !== releases && coordinator?.phase !== 'gave-up') return;
    const record = this.next ?? this.first;
    const ids = record.members.map((member) => member.nodeId);
    const reached = choice.late ? [this.nodeOf(choice)] : ids;
    for (const nodeId of reached) this.sendRelease(coordinator, nodeId, record);
  }

  /** Records which member has confirmed in which epoch, as a coordinator does. */
  private sendRelease(coordinator: Coordinator, nodeId: string, record: PlacementRecord): void {
    const { attemptId, confirmed } = coordinator;
    const { epoch } = record;
    const request = { type: 'release', epoch, key: KEY, attemptId } as const;
    const reply = this.replicas.get(nodeId)!.handle(request, WALL_NOW_MS);
    if (reply.type === 'done') confirmed.add(`${epoch}/${nodeId}`);
    const ids = record.members.map((member) => member.nodeId);
    coordinator.delivered ||= ids.every((id) => confirmed.has(`${epoch}/${id}`));
  }

  /**
   * Ends the schedule: completes a change of epoch that was begun; coordinators that have not
   * dispatched give up and send their releases again to members that have not confirmed.
   *
   * @returns whether the key can be claimed then; `undefined` when it need not be claimable
   */
  becomesFree(): boolean | undefined {
    this.readAll();
    const change = [...this.changes.values()].find((each) => each.step === 'decided');
    const finished = change ?? this.runLastChange();
    const newest = finished?.successor ?? this.first;
    if (finished !== undefined) this.installAll(finished);
    this.readAll();
    const members = newest.members.map((member) => this.replicas.get(member.nodeId)!);
    if (members.some(({ status }) => status !== 'voting') || this.dispatches > 0) return undefined;
    for (const coordinator of this.coordinators.values()) {
      coordinator.round.giveUp();
      if (coordinator.delivered) continue;
      for (const { nodeId } of newest.members) this.sendRelease(coordinator, nodeId, newest);
    }
    const subject = { key: KEY, issuedAtMs: 0, fingerprint: 'f', attemptId: 'last' };
    const claim = { type: 'claim', epoch: newest.epoch, subject } as const;
    return members.every(({ self }) => {
      return this.replicas.get(self.nodeId)!.handle(claim, WALL_NOW_MS).type === 'granted';
    });
  }

  private readAll(): void {
    for (const replica of this.replicas.values()) {
      for (const nodeId of replica.unreadMembers()) {
        const request = replica.createRecoverRequest();
        replica.onRecovered(this.replicas.get(nodeId)!.handle(request, WALL_NOW_MS));
      }
    }
  }

  /** Completes a change that others have begun, with a last proposer. */
  private runLastChange(): EpochChange | undefined {
    if (![...this.replicas.values()].some(({ status }) => status === 'sealed')) return undefined;
    const ballot = { round: 2, nodeId: 'proposer-last' };
    const members = OLD_MEMBERS.map((nodeId) => this.replicas.get(nodeId)!.self);
    const proposed: PlacementRecord = { epoch: 2, members, fresh: false, floorMs: 0 };
    const change = new EpochChange(this.first, ballot, proposed, this.rule);
    const sendToAll = (request: ReplicaRequest): void => {
      for (const nodeId of OLD_MEMBERS) {
        change.onReply(this.replicas.get(nodeId)!.handle(request, WALL_NOW_MS));
      }
    };
    sendToAll({ type: 'prepare', epoch: 1, ballot });
    sendToAll({ type: 'accept', epoch: 1, ballot, successor: change.successor });
    return change.step === 'decided' ? change : undefined;
  }

  private installAll(change: EpochChange): void {
    const record = change.successor;
    const table = this.mergeTables(change);
    for (const { nodeId } of record.members) {
      this.replicas.get(nodeId)!.handle({ type: 'install', record, table }, WALL_NOW_MS);
    }
    for (const replica of this.replicas.values()) replica.observe(record);
  }

  restart(choice: Choice): void {
    if (this.restarts >= MAX_RESTARTS) return;
    this.restarts += 1;
    this.startReplica(this.nodeOf(choice), 1 + this.restarts);
  }

  /** Lets a recovering or pending replica read another member. */
  read(choice: Choice): void {
    const replica = this.replicas.get(NODES[choice.actor % NODES.length]!)!;
    if (!replica.unreadMembers().includes(this.nodeOf(choice))) return;
    this.send(choice, replica.createRecoverRequest(), (reply) => {
      replica.onRecovered(reply);
    });
  }

  private findChange(index: number): EpochChange {
    const known = this.changes.get(index);
    if (known !== undefined) return known;
    const members = NEXT_MEMBERS[index]!.map((nodeId) => this.replicas.get(nodeId)!.self);
    const record: PlacementRecord = { epoch: 2, members, fresh: false, floorMs: 0 };
    const ballot = { round: 1, nodeId: `proposer-${index}` };
    const change = new EpochChange(this.first, ballot, record, this.rule);
    this.changes.set(index, change);
    return change;
  }

  prepare(choice: Choice): void {
    const change = this.findChange(choice.actor % NEXT_MEMBERS.length);
    const { ballot } = change;
    this.send(choice, { type: 'prepare', epoch: 1, ballot }, (reply) => {
      // A repeated message is rejected by its own ballot; a node does not wait for that reply.
      if (reply.type !== 'rejected') change.onReply(reply);
    });
  }

  accept(choice: Choice): void {
    const change = this.changes.get(choice.actor % NEXT_MEMBERS.length);
    if (change?.step !== 'accepting') return;
    const { ballot, successor } = change;
    this.send(choice, { type: 'accept', epoch: 1, ballot, successor }, (reply) => {
      if (reply.type !== 'rejected') change.onReply(reply);
    });
  }

  install(choice: Choice): void {
    const change = this.changes.get(choice.actor % NEXT_MEMBERS.length);
    if (change?.step !== 'decided') return;
    const record = change.successor;
    this.decided.add(JSON.stringify(record));
    const nodeId = this.nodeOf(choice);
    if (!record.members.some((member) => member.nodeId === nodeId)) return;
    const table = this.mergeTables(change);
    this.send(choice, { type: 'install', record, table }, (reply) => {
      if (reply.type === 'done') this.installed.add(nodeId);
      if (this.installed.size >= 2) this.next = record;
    });
  }

  observe(choice: Choice): void {
    if (this.next === undefined) return;
    this.send(choice, { type: 'establish', record: this.next }, () => {});
  }

  /** Delivers a late reply, perhaps not for the first time. */
  takeLateReply(choice: Choice): void {
    this.lateReplies[choice.node % Math.max(1, this.lateReplies.length)]?.();
  }

  private mergeTables(change: EpochChange): TableSnapshot {
    const merged = new ClaimTable();
    if (this.mutation === 'new members start empty') return merged.snapshot();
    for (const table of change.tables) merged.merge(table);
    return merged.snapshot();
  }
}

/** Actions with their weights in a schedule. */
const ACTIONS = {
  claim: 10,
  decide: 4,
  giveUp: 1,
  release: 1,
  restart: 1,
  read: 12,
  prepare: 3,
  accept: 3,
  install: 3,
  observe: 1,
  takeLateReply: 2,
} as const;

type Action = keyof typeof ACTIONS;

const ACTION = fc.tuple(
  fc.oneof(
    ...Object.entries(ACTIONS).map(([action, weight]) => ({
      arbitrary: fc.constant(action as Action),
      weight,
    })),
  ),
  fc.record({
    actor: fc.nat(11),
    node: fc.nat(11),
    late: fc.nat(4).map((value) => value === 0),
  }),
);
const SCHEDULE = fc.array(ACTION, { minLength: 150, maxLength: 250, size: 'max' });

/** Runs random schedules; returns the first one that breaks a property. */
function findViolation(mutation: Mutation | undefined, runs: number): unknown {
  const property = fc.property(SCHEDULE, (schedule) => {
    const simulation = new Simulation(mutation);
    for (const [action, choice] of schedule) simulation.act(action, choice);
    return simulation.dispatches <= 1 && simulation.decided.size <= 1;
  });
  return fc.check(property, { numRuns: runs, seed: 20_261_202, endOnFailure: true }).counterexample;
}

test('after random schedules a key is free again once its claimants have given up', () => {
  let free = 0;
  const property = fc.property(SCHEDULE, (schedule) => {
    const simulation = new Simulation();
    for (const [action, choice] of schedule) {
      // Messages of one connection keep their order: no claim arrives after its own release.
      if (action !== 'claim' || !simulation.hasGivenUp(choice)) simulation.act(action, choice);
    }
    const isFree = simulation.becomesFree();
    if (isFree === true) free += 1;
    return isFree !== false;
  });
  const result = fc.check(property, { numRuns: 3_000, seed: 20_261_202, endOnFailure: true });
  assert.equal(result.counterexample, null);
  assert.ok(free >= MIN_FREE_SCHEDULES, `${free} schedules ended with a free key`);
});

test('random schedules on the real state machines dispatch a key at most once', () => {
  assert.equal(findViolation(undefined, 2_000), null);
});

const MUTATIONS: readonly Mutation[] = [
  'no incarnation check',
  'votes before it has read all',
  'dispatches after giving up',
  'releases after dispatch',
  'new members start empty',
  'recovers without the promise',
];

for (const mutation of MUTATIONS) {
  test(`the schedules catch state machines without a rule: ${mutation}`, () => {
    assert.notEqual(findViolation(mutation, 20_000), null);
  });
}
