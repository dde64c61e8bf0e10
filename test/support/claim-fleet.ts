/** Claim tasks of several nodes under virtual time. */
import assert from 'node:assert/strict';
import type { ReplicaReply, ReplicaRequest } from '../../src/core/claim/replica-messages.js';
import type { ClaimDecision, ClaimRequest } from '../../src/claims/claim-service.js';
import { ClaimTask, createIncarnation } from '../../src/claims/claim-task.js';
import { ManualClock } from '../../src/kernel/clock.js';
import { silentEventLog } from '../../src/kernel/event.js';
import { createMetrics } from '../../src/kernel/metrics.js';
import type { Member, Membership } from '../../src/membership/membership.js';
import { InMemoryPeerHub, type InMemoryPeerNetwork } from './in-memory-peer-network.js';
import type { PeerNetwork } from '../../src/peer/peer-network.js';
import { InMemoryPlatform, type WriteOutcome } from './in-memory-platform.js';

/** Options of a fleet. */
export interface ClaimFleetOptions {
  readonly nextWrite?: () => WriteOutcome;
  readonly pageBytes?: number;
  readonly wantedGroups?: number;
}

/** Time after which a fleet is ready, in milliseconds. */
export const READY_AFTER_MS = 3_000;
/** Step in which virtual time advances, in milliseconds. */
export const VIRTUAL_STEP_MS = 5;

/** Nodes with a network, a membership view and a platform, all in memory. */
export class ClaimFleet {
  readonly clock = new ManualClock();
  readonly metrics = createMetrics(false);
  readonly nodes = new Map<string, ClaimTask>();
  /** Calls that each node has made. */
  readonly calls = new Map<string, number>();
  readonly platform: InMemoryPlatform;
  private readonly cutOff = new Set<string>();
  private readonly hub = new InMemoryPeerHub(this.clock);
  private readonly zones = new Map<string, string>();
  private starts = 0;

  constructor(private readonly options: ClaimFleetOptions = {}) {
    this.platform = new InMemoryPlatform(undefined, {
      nextWrite: options.nextWrite ?? (() => 'ok'),
    });
    this.clock.advance(1_000_000);
  }

  /** Starts a node; a name that is already in use restarts that node with empty memory. */
  start(nodeId: string, zone: string, wantedGroups?: number): ClaimTask {
    this.starts += 1;
    this.nodes.get(nodeId)?.stop();
    const task = new ClaimTask({
      nodeId,
      incarnation: createIncarnation(this.clock.wallNow(), this.starts / 4_096),
      clock: this.clock,
      log: silentEventLog,
      network: this.countCalls(nodeId, this.hub.createNetwork(nodeId)),
      membership: this.createMembership(nodeId),
      platform: this.platform,
      metrics: this.metrics,
      mailboxCapacity: 1_000,
      pageBytes: this.options.pageBytes,
      wantedGroups: wantedGroups ?? this.options.wantedGroups,
    });
    this.nodes.set(nodeId, task);
    this.zones.set(nodeId, zone);
    for (const from of this.zones.keys()) {
      for (const to of this.zones.keys()) this.hub.find(from)?.setAddress(to, to);
    }
    task.start();
    return task;
  }

  /** Kills a node without notice; it disappears from the membership view. */
  kill(nodeId: string): void {
    this.nodes.get(nodeId)?.stop();
    this.nodes.delete(nodeId);
    this.hub.remove(nodeId);
    this.zones.delete(nodeId);
  }

  /** Stops all members and installs the next epoch at one only, as a proposer that then crashes. */
  async installNextEpochAt(nodeId: string): Promise<void> {
    const old = this.nodes.get(nodeId)!.placementOf(0)!;
    const network = this.hub.createNetwork('proposer');
    const callReplica = async (to: string, request: ReplicaRequest): Promise<ReplicaReply> => {
      network.setAddress(to, to);
      const result = await this.settle(
        network.call(to, 'claimReplica', { group: 0, request }, { timeoutMs: 100 }),
      );
      assert.ok(result.isOk);
      return result.value.reply;
    };
    const prepare = {
      type: 'prepare',
      epoch: old.epoch,
      ballot: { round: 1, nodeId: 'x' },
    } as const;
    for (const member of old.members) await callReplica(member.nodeId, prepare);
    const read = { type: 'recover', epoch: old.epoch, nodeId, incarnation: 0 } as const;
    const { incarnation } = old.members.find((member) => member.nodeId === nodeId)!;
    const reply = await callReplica(nodeId, { ...read, incarnation });
    assert.ok(reply.type === 'recovered');
    const record = { ...old, epoch: old.epoch + 1, fresh: false };
    await callReplica(nodeId, { type: 'install', record, table: reply.memory.table });
  }

  /** Delays every message between any two nodes. */
  delayAll(delayMs: number): void {
    for (const from of this.zones.keys()) {
      for (const to of this.zones.keys()) this.hub.setDelay(from, to, delayMs);
    }
  }

  /** Cuts a node off from all others; membership only marks it as suspect. */
  cut(nodeId: string): void {
    this.cutOff.add(nodeId);
    for (const other of this.zones.keys()) {
      this.hub.cut(nodeId, other);
      this.hub.cut(other, nodeId);
    }
  }

  /** Advances virtual time and runs the work that becomes due. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += VIRTUAL_STEP_MS) {
      this.clock.advance(VIRTUAL_STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /** Awaits a promise while virtual time advances. */
  async settle<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    void promise.finally(() => (done = true));
    for (let step = 0; !done && step < 4_000; step += 1) await this.advance(VIRTUAL_STEP_MS);
    return promise;
  }

  createRequest(key: string, attemptId: string, fingerprint = 'f'): ClaimRequest {
    const deadline = this.clock.now() + 1_000;
    return { tenant: 't', service: 's', key, fingerprint, attemptId, deadline };
  }

  /** Creates an idempotency key issued `ageMs` ago. */
  createKey(ageMs = 0, serial = 0): string {
    const time = (this.clock.wallNow() - ageMs).toString(16).padStart(12, '0');
    const tail = serial.toString(16).padStart(12, '0');
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
  }

  claim(nodeId: string, key: string, attemptId: string, fingerprint = 'f'): Promise<ClaimDecision> {
    return this.settle(
      this.nodes.get(nodeId)!.claim(this.createRequest(key, attemptId, fingerprint)),
    );
  }

  private countCalls(nodeId: string, network: InMemoryPeerNetwork): PeerNetwork {
    const call = network.call.bind(network);
    network.call = (node, name, request, options) => {
      this.calls.set(nodeId, (this.calls.get(nodeId) ?? 0) + 1);
      return call(node, name, request, options);
    };
    return network;
  }

  private createMembership(self: string): Membership {
    const list = (): Member[] =>
      [...this.zones].map(([nodeId, zone]) => ({
        ...{ nodeId, zone, region: 'r', incarnation: 1, sequence: 1, ready: true },
        ...{ peerAddress: '', entryAddress: '', adminAddress: '', configVersion: 0 },
        ...{ fronts: [], leavingTargets: [] },
        state: this.cutOff.has(nodeId) || this.cutOff.has(self) ? 'suspect' : 'alive',
      }));
    return {
      self: () => list().find((member) => member.nodeId === self)!,
      members: list,
      find: (nodeId) => list().find((member) => member.nodeId === nodeId),
      update: () => {},
      addSeeds: () => {},
      leave: () => Promise.resolve(),
      subscribe: () => () => {},
    };
  }
}

/** Creates a fleet of three nodes in three zones and waits until it is ready. */
export async function createClaimFleet(options?: ClaimFleetOptions): Promise<ClaimFleet> {
  const fleet = new ClaimFleet(options);
  fleet.start('a', 'zone-1');
  fleet.start('b', 'zone-2');
  fleet.start('c', 'zone-3');
  await fleet.advance(READY_AFTER_MS);
  return fleet;
}
