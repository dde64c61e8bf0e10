/** A fleet of membership protocols in virtual time, with a network that can fail. */
import { calculateObjectSize } from 'bson';
import type { MemberFacts } from '../core/member.js';
import { MembershipProtocol } from '../core/membership/membership-protocol.js';
import type {
  MembershipAction,
  MembershipMessage,
  MemberSyncRequest,
} from '../core/membership/membership-message.js';
import { createRandom, type Random } from '../core/random.js';
import { DatagramCodec } from '../membership/datagram-codec.js';

/** An IPv4 header (20 bytes) and a UDP header (8 bytes). */
const PACKET_HEADER_BYTES = 28;

/** A protocol instance with its network address and process state. */
export interface SimulatedNode {
  readonly id: string;
  readonly zone: string;
  readonly address: string;
  readonly protocol: MembershipProtocol;
  /** Whether the process runs. */
  running: boolean;
  /** Whether the process is suspended, as by SIGSTOP; its inputs wait in `waiting`. */
  paused: boolean;
  readonly waiting: (() => void)[];
  timerAt: number;
  /** Bytes sent and received, packet headers included. */
  bytes: number;
  /** Events with their nodes, as `failed node-3`. */
  readonly events: string[];
}

export interface NodeSpec {
  readonly id: string;
  readonly zone?: string;
  readonly address?: string;
  readonly incarnation?: number;
  readonly seeds?: readonly string[];
}

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** The fleet and its network. A seed determines the whole run. */
export class SimulatedFleet {
  now = 0;
  readonly nodes = new Map<string, SimulatedNode>();
  /** Fraction of datagrams that are lost, 0 to 1. */
  lossRate = 0;
  /** Whether packets from one node to another are dropped. */
  isCut: (from: SimulatedNode, to: SimulatedNode) => boolean = () => false;
  /** Whether bytes are counted with the real codec, which is slower. */
  countBytes = false;
  /** Bytes of the largest datagram sent while `countBytes` was set. */
  largestDatagram = 0;
  private readonly heap: ScheduledEvent[] = [];
  private readonly random: Random;
  private readonly codec = new DatagramCodec('a key of the simulated fleet');
  private scheduledCount = 0;

  constructor(seed: number) {
    this.random = createRandom(seed);
  }

  /** Starts nodes `node-1` and up in three zones; each joins through the first two. */
  addNodes(count: number): void {
    for (let index = 1; index <= count; index += 1) this.addNode({ id: `node-${index}` });
  }

  /** Starts nodes that already know each other, like a fleet that has been running for long. */
  addFormedNodes(count: number): void {
    this.addNodes(count);
    const updates = this.running().flatMap(({ id, protocol }) => protocol.listFacts([id]));
    for (const node of this.running()) {
      this.applyInput(node, (now) => node.protocol.onSyncReply(now, 'node-1', updates));
    }
  }

  /** Starts a node; it replaces an earlier node of the same ID. */
  addNode(spec: NodeSpec): SimulatedNode {
    const index = this.nodes.size;
    const zone = spec.zone ?? `zone-${index % 3}`;
    const address = spec.address ?? `10.0.${Math.floor(index / 250)}.${(index % 250) + 1}:7000`;
    const facts: MemberFacts = {
      nodeId: spec.id,
      incarnation: spec.incarnation ?? 1_700_000_000_000 + Math.floor(this.now),
      sequence: 0,
      zone,
      region: 'region-a',
      peerAddress: address,
      entryAddress: address.replace(':7000', ':8000'),
      adminAddress: address.replace(':7000', ':9000'),
      fronts: [],
      leavingTargets: [],
      configVersion: 0,
      ready: true,
    };
    const protocol = new MembershipProtocol(facts, createRandom(this.random.nextInt(2 ** 30)));
    const node: SimulatedNode = {
      id: spec.id,
      zone,
      address,
      protocol,
      running: true,
      paused: false,
      waiting: [],
      timerAt: Infinity,
      bytes: 0,
      events: [],
    };
    this.nodes.set(spec.id, node);
    const seeds = spec.seeds ?? ['10.0.0.1:7000', '10.0.0.2:7000'];
    this.applyInput(node, (now) => [...protocol.start(now), ...protocol.addSeeds(now, seeds)]);
    return node;
  }

  node(id: string): SimulatedNode {
    return this.nodes.get(id)!;
  }

  running(): SimulatedNode[] {
    return [...this.nodes.values()].filter((node) => node.running);
  }

  /** Kills processes, which send nothing before they exit. */
  kill(...ids: string[]): void {
    for (const id of ids) this.node(id).running = false;
  }

  /** Suspends a process until {@link resume}; its inputs wait. */
  pause(id: string): void {
    this.node(id).paused = true;
  }

  resume(id: string): void {
    const node = this.node(id);
    node.paused = false;
    for (const deliver of node.waiting.splice(0)) deliver();
    this.arm(node);
  }

  /** Passes an input to a node's protocol and performs the resulting actions. */
  applyInput(node: SimulatedNode, input: (now: number) => readonly MembershipAction[]): void {
    for (const action of input(this.now)) this.perform(node, action);
    this.arm(node);
  }

  /** Advances virtual time and runs the events that fall in it. */
  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.heap.length > 0 && this.heap[0]!.at <= end) {
      const event = this.pop();
      this.now = event.at;
      event.run();
    }
    this.now = end;
  }

  /**
   * Runs until a condition is true.
   *
   * @returns virtual milliseconds that it took, or Infinity when it was not true within the limit
   */
  runUntil(condition: () => boolean, limitMs: number, stepMs = 50): number {
    for (let waited = 0; waited <= limitMs; waited += stepMs) {
      if (condition()) return waited;
      this.run(stepMs);
    }
    return Infinity;
  }

  /** Whether every running node lists exactly the running nodes, none of them as suspect. */
  hasConverged(): boolean {
    const running = this.running();
    const expected = running.map(({ id }) => id).sort();
    return running.every(({ protocol }) => {
      const members = protocol.members();
      if (members.length !== expected.length) return false;
      return members.every(
        ({ nodeId, state }, index) => nodeId === expected[index] && state !== 'suspect',
      );
    });
  }

  /** Number of events over all nodes whose text starts with `name`. */
  countEvents(name: string): number {
    let count = 0;
    for (const { events } of this.nodes.values()) {
      count += events.filter((event) => event.startsWith(name)).length;
    }
    return count;
  }

  private perform(node: SimulatedNode, action: MembershipAction): void {
    if (action.type === 'send') this.send(node, action.to, action.message);
    if (action.type === 'event') node.events.push(`${action.event} ${action.nodeId}`);
    if (action.type === 'sync') this.exchange(node, action.nodeId);
    if (action.type === 'fetch') this.fetch(node, action.source, action.nodeIds);
  }

  private send(from: SimulatedNode, address: string, message: MembershipMessage): void {
    const bytes = this.countBytes ? this.measure(message) : 0;
    from.bytes += bytes;
    this.largestDatagram = Math.max(this.largestDatagram, bytes - PACKET_HEADER_BYTES);
    if (this.random.next() < this.lossRate) return;
    this.schedule(this.latency(), () => {
      const to = this.findByAddress(address);
      if (to === undefined || this.isCut(from, to)) return;
      to.bytes += bytes;
      this.deliver(to, () => {
        this.applyInput(to, (now) => to.protocol.onMessage(now, from.address, message));
      });
    });
  }

  private deliver(to: SimulatedNode, handle: () => void): void {
    if (!to.running) return;
    if (to.paused) to.waiting.push(handle);
    else handle();
  }

  /** Runs the exchange of MemberSync in one step, after one round trip. */
  private exchange(from: SimulatedNode, nodeId: string): void {
    this.schedule(2 * this.latency(), () => {
      const to = this.nodes.get(nodeId);
      if (to === undefined || !this.canCall(from, to)) return;
      const request = from.protocol.createSyncRequest();
      let transfers: readonly MemberSyncRequest[] | undefined;
      let after = '';
      do {
        const reply = this.call(from, to, { ...request, after });
        transfers ??= from.protocol.createTransferRequests(reply.buckets);
        this.applyInput(from, (now) => from.protocol.onSyncReply(now, to.id, reply.updates));
        after = reply.next;
      } while (after !== '');
      for (const transfer of transfers) this.call(from, to, transfer);
    });
  }

  private call(from: SimulatedNode, to: SimulatedNode, request: MemberSyncRequest) {
    const { reply, actions } = to.protocol.onSyncRequest(this.now, from.id, request);
    this.applyInput(to, () => actions);
    const bytes = this.countBytes ? calculateObjectSize(request) + calculateObjectSize(reply) : 0;
    from.bytes += bytes;
    to.bytes += bytes;
    return reply;
  }

  private fetch(from: SimulatedNode, source: string, nodeIds: readonly string[]): void {
    this.schedule(2 * this.latency(), () => {
      const to = this.nodes.get(source);
      if (to === undefined || !this.canCall(from, to)) return;
      const updates = to.protocol.listFacts(nodeIds);
      this.applyInput(from, (now) => from.protocol.onSyncReply(now, source, updates));
    });
  }

  private canCall(from: SimulatedNode, to: SimulatedNode): boolean {
    const bothRun = from.running && to.running && !from.paused && !to.paused;
    return bothRun && !this.isCut(from, to) && !this.isCut(to, from);
  }

  private findByAddress(address: string): SimulatedNode | undefined {
    for (const node of this.nodes.values()) {
      if (node.address === address && node.running) return node;
    }
    return undefined;
  }

  private measure(message: MembershipMessage): number {
    return this.codec.encode(message).length + PACKET_HEADER_BYTES;
  }

  /** One-way latency of 0.5 to 1.5 ms. */
  private latency(): number {
    return 0.5 + this.random.next();
  }

  private arm(node: SimulatedNode): void {
    const next = node.protocol.nextTimer();
    if (next === node.timerAt || next === Infinity) return;
    node.timerAt = next;
    this.schedule(Math.max(0, next - this.now), () => {
      if (node.timerAt !== next || !node.running || this.nodes.get(node.id) !== node) return;
      node.timerAt = Infinity;
      this.deliver(node, () => {
        this.applyInput(node, (now) => node.protocol.onTimer(now));
      });
    });
  }

  private schedule(delayMs: number, run: () => void): void {
    this.scheduledCount += 1;
    const event = { at: this.now + delayMs, order: this.scheduledCount, run };
    const { heap } = this;
    let index = heap.length;
    heap.push(event);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  private pop(): ScheduledEvent {
    const { heap } = this;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}
