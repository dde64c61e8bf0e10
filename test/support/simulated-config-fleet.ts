/**
 * A fleet of nodes that run the real configuration distribution over an in-memory platform,
 * peers and membership, under virtual time. Zones can be cut off, and nodes killed and replaced.
 */
import { Result } from 'true-myth';
import { ConfigDistribution } from '../../src/config/config-distribution.js';
import { InMemoryConfigStore } from '../../src/config/in-memory-config-store.js';
import { PlatformRulesRepository } from '../../src/config/platform-rules-repository.js';
import { createFailure, type Failure } from '../../src/core/failure.js';
import { ResultCode } from '../../src/core/result-code.js';
import { ManualClock } from '../../src/kernel/clock.js';
import { silentEventLog } from '../../src/kernel/event.js';
import type {
  Member,
  MemberFacts,
  Membership,
  MutableFacts,
} from '../../src/membership/membership.js';
import type { BodyValidator, PeerCallHandler, PeerNetwork } from '../../src/peer/peer-network.js';
import { InMemoryPlatform } from './in-memory-platform.js';

/** Time since its last received facts after which a member is considered failed. */
const FAILED_AFTER_MS = 2_000;
/** Interval at which members exchange their facts. */
const GOSSIP_INTERVAL_MS = 200;
const STEP_MS = 50;
/** Number of event-loop turns in which the calls of one step settle. */
const TURNS_PER_STEP = 4;

interface ReceivedFacts {
  readonly facts: MemberFacts;
  readonly at: number;
}

type ConfigFetchHandler = PeerCallHandler<'configFetch'>;

/** One node of the fleet. */
export class SimulatedConfigNode implements Membership, PeerNetwork {
  readonly store = new InMemoryConfigStore();
  readonly distribution: ConfigDistribution;
  readonly repository: PlatformRulesRepository;
  /** Arguments of {@link addSeeds} so far. */
  readonly seeds: (readonly string[])[] = [];
  private readonly receivedFacts = new Map<string, ReceivedFacts>();
  private readonly listeners = new Set<() => void>();
  private facts: MemberFacts;
  private handler: ConfigFetchHandler | undefined;

  constructor(
    private readonly fleet: SimulatedConfigFleet,
    readonly id: string,
    readonly zone: string,
    seed: number,
  ) {
    const addresses = { peerAddress: id, entryAddress: id, adminAddress: id };
    const lists = { fronts: [], leavingTargets: [] };
    const counters = { incarnation: 1, sequence: 1, configVersion: 0 };
    const region = 'region';
    this.facts = { nodeId: id, zone, region, ...addresses, ...lists, ...counters, ready: false };
    const { platform, clock } = fleet;
    const shared = { platform, clock, log: silentEventLog, seed };
    const { store } = this;
    this.distribution = new ConfigDistribution({
      ...shared,
      store,
      membership: this,
      network: this,
    });
    this.repository = new PlatformRulesRepository({
      ...shared,
      onSnapshot: (records) => {
        this.distribution.acceptSnapshot(records);
      },
    });
  }

  get isReady(): boolean {
    return this.facts.ready;
  }

  self(): Member {
    return { ...this.facts, state: 'alive' };
  }

  members(): readonly Member[] {
    const oldest = this.fleet.clock.now() - FAILED_AFTER_MS;
    const others = [...this.receivedFacts.values()].filter(({ at }) => at >= oldest);
    return [this.self(), ...others.map(({ facts }): Member => ({ ...facts, state: 'alive' }))];
  }

  find(nodeId: string): Member | undefined {
    return this.members().find((member) => member.nodeId === nodeId);
  }

  update(facts: MutableFacts): void {
    this.facts = { ...this.facts, ...facts, sequence: this.facts.sequence + 1 };
  }

  addSeeds(addresses: readonly string[]): void {
    this.seeds.push(addresses);
  }

  leave(): Promise<void> {
    return Promise.resolve();
  }

  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  /** Records another node's facts and notifies the listeners. */
  receiveFacts({ facts }: SimulatedConfigNode): void {
    this.receivedFacts.set(facts.nodeId, { facts, at: this.fleet.clock.now() });
    for (const listener of [...this.listeners]) listener();
  }

  handle(_name: unknown, _validate: BodyValidator<never>, handler: unknown): void {
    this.handler = handler as ConfigFetchHandler;
  }

  async call(node: string, _name: unknown, request: unknown): Promise<Result<never, Failure>> {
    const peer = this.fleet.nodes.get(node);
    if (peer === undefined || !this.fleet.canReach(this, peer)) {
      return Result.err(createFailure(ResultCode.PeerUnreachable, node));
    }
    const body = structuredClone(request) as { after: number };
    const reply = await peer.handler!(this.id, body, new AbortController().signal);
    return structuredCloneResult(reply) as Result<never, Failure>;
  }

  setAddress(): void {}
}

/** The fleet; a replacement gets a new name, and names are never reused. */
export class SimulatedConfigFleet {
  readonly clock = new ManualClock();
  readonly platform = new InMemoryPlatform();
  readonly nodes = new Map<string, SimulatedConfigNode>();
  /** Virtual time between a read of the platform and its answer. */
  answerDelayMs = 0;
  private readonly cutZones = new Set<string>();
  private created = 0;

  constructor() {
    this.platform.delayAnswer = () =>
      new Promise((resolve) => {
        if (this.answerDelayMs === 0) resolve();
        else this.clock.schedule(this.answerDelayMs, resolve);
      });
  }

  /** Starts a node in a zone. */
  startNode(zone: string): SimulatedConfigNode {
    this.created += 1;
    const node = new SimulatedConfigNode(this, `node-${this.created}`, zone, this.created);
    this.nodes.set(node.id, node);
    node.distribution.start();
    return node;
  }

  /** Kills a node without notice. */
  killNode(node: SimulatedConfigNode): void {
    node.distribution.stop();
    this.nodes.delete(node.id);
  }

  /** Cuts a zone off from all others, or reconnects it. */
  setCut(zone: string, isCut: boolean): void {
    if (isCut) this.cutZones.add(zone);
    else this.cutZones.delete(zone);
  }

  canReach(from: SimulatedConfigNode, to: SimulatedConfigNode): boolean {
    return from.zone === to.zone || !(this.cutZones.has(from.zone) || this.cutZones.has(to.zone));
  }

  inZone(zone: string): readonly SimulatedConfigNode[] {
    return [...this.nodes.values()].filter((node) => node.zone === zone);
  }

  /** Advances virtual time; `onStep` runs after each step of 50 ms. */
  async advance(durationMs: number, onStep: () => void = () => {}): Promise<void> {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      if (this.clock.now() % GOSSIP_INTERVAL_MS === 0) this.gossip();
      for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      onStep();
    }
  }

  private gossip(): void {
    const nodes = [...this.nodes.values()];
    for (const from of nodes) {
      for (const to of nodes) {
        if (from !== to && this.canReach(from, to)) to.receiveFacts(from);
      }
    }
  }
}

function structuredCloneResult<T>(result: Result<T, Failure>): Result<T, Failure> {
  return result.map((value) => structuredClone(value));
}
