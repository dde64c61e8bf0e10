/** One emulated run: a deployment with one policy, load, set of faults and seed. */
import { minimalNeed } from '../core/attempt-budget.js';
import { AttemptLedger } from '../core/attempt-ledger.js';
import type { OverloadPolicy } from '../core/overload.js';
import { EmulatedBackEnd } from './back-end.js';
import { Callers } from './callers.js';
import type { CallerBehaviour } from './callers-options.js';
import { ConnectionPool } from './connection-pool.js';
import {
  ONE_PER_TARGET,
  type Deployment,
  type ServiceModel,
  type TargetModel,
} from './deployment.js';
import { EmulatedNode } from './emulated-node.js';
import { EventQueue } from './event-queue.js';
import type { LoadProfile } from './load-profile.js';
import { type PolicyProfile, profileOf } from './policy-profile.js';
import { Recorder, WINDOW_MS } from './recorder.js';
import { createStream, deriveSeed } from './sampling.js';
import { startSampling } from './service-sampler.js';
import { TargetDirectory } from './target-directory.js';
import { TargetSide } from './target-side.js';
import type { SimulationContext } from './simulation-context.js';
import { ZoneNetwork } from './zone-network.js';

/** Time added to the longest deadline, in which the last requests end, in milliseconds. */
const SETTLE_MS = 1_000;

/** Everything that defines a run. */
export interface SimulationOptions {
  readonly deployment: Deployment;
  readonly policy: OverloadPolicy;
  readonly seed: number;
  readonly load: LoadProfile;
  readonly callers: CallerBehaviour;
  readonly durationMs: number;
  readonly warmUpMs: number;
  readonly gossipMs: number;
  readonly failureDetectionMs: number;
  readonly machineListLagMs: number;
}

/** A run: schedule faults, then call {@link start} and {@link finish}. */
export class Simulation implements SimulationContext {
  readonly queue = new EventQueue();
  readonly deployment: Deployment;
  readonly profile: PolicyProfile;
  readonly recorder: Recorder;
  readonly directory: TargetDirectory;
  readonly nodes: readonly EmulatedNode[];
  private readonly nodesByZone = new Map<string, readonly EmulatedNode[]>();
  private readonly sides = new Map<string, TargetSide>();
  private readonly network: ZoneNetwork;
  private readonly calls: ReadonlyMap<string, readonly string[]>;
  private readonly positions = new Map<string, number>();
  private readonly targetCounts = new Map<string, number>();
  private readonly needs = new Map<string, number>();
  private attempts = 0;
  private incarnations = 0;

  constructor(private readonly options: SimulationOptions) {
    const { deployment, policy, warmUpMs, durationMs } = options;
    this.deployment = deployment;
    this.profile = profileOf(policy.name);
    this.directory = new TargetDirectory(deployment);
    const windows = Math.ceil(durationMs / WINDOW_MS);
    this.recorder = new Recorder(deployment, () => this.queue.now(), warmUpMs, windows);
    this.calls = new Map(deployment.services.map(({ name, calls }) => [name, calls]));
    this.nodes = this.createNodes();
    this.network = new ZoneNetwork(deployment, this.queue, options.callers.failoverMs);
    for (const service of deployment.services) this.createSides(service);
  }

  /** Starts the callers and the sampling of queues. */
  start(): void {
    const { callers, seed, load, durationMs } = this.options;
    new Callers(this, {
      behaviour: callers,
      seed,
      rateOf: (kindIndex, now) => load.rateOf(kindIndex, now),
      peakRateOf: (kindIndex) => load.peakRateOf(kindIndex),
      endMs: durationMs,
      entryNode: (zoneIndex, choice) => this.entryNode(zoneIndex, choice),
    }).start();
    startSampling(this, durationMs);
  }

  /** Runs to virtual time `untilMs`. */
  runUntil(untilMs: number): void {
    this.queue.runUntil(untilMs);
  }

  /** Runs until every request has ended. */
  finish(): void {
    const longest = Math.max(...this.deployment.kinds.map(({ root }) => root.kind.deadlineMs));
    this.queue.runUntil(this.options.durationMs + longest + SETTLE_MS);
  }

  send(fromZone: string, toZone: string, deliver: () => void): void {
    this.network.send(fromZone, toZone, deliver);
  }

  readonly targetSide = (target: string): TargetSide => this.sides.get(target)!;

  readonly callsOf = (service: string): readonly string[] => this.calls.get(service) ?? [];

  needOf(service: string): number {
    let need = this.needs.get(service);
    if (need === undefined) {
      need = minimalNeed(service, this.callsOf);
      this.needs.set(service, need);
    }
    return need;
  }

  nextAttemptId(): string {
    this.attempts += 1;
    return `a${this.attempts}`;
  }

  onTargetLeaving(target: string): void {
    this.queue.schedule(this.options.gossipMs, () => {
      if (this.targetSide(target).leaving) this.exclude(target, 'leaving', true);
    });
  }

  /** Sets or clears a reason why a target is not eligible, and updates all nodes. */
  exclude(target: string, reason: Parameters<TargetDirectory['set']>[1], excluded: boolean): void {
    this.directory.set(target, reason, excluded);
    const service = this.deployment.services.find(({ targets }) =>
      targets.some(({ id }) => id === target),
    );
    for (const node of this.nodes) node.updateTargets(service!.name, this.queue.now());
  }

  /** Stops all nodes and targets of a zone at once. */
  loseZone(zone: string): void {
    this.network.lose(zone);
    for (const target of this.targetsIn(zone)) this.targetSide(target.id).backEnd.kill();
    for (const node of this.nodesByZone.get(zone)!) node.stop();
    this.queue.schedule(this.options.failureDetectionMs, () => {
      if (!this.network.isLost(zone)) return;
      for (const target of this.targetsIn(zone)) this.exclude(target.id, 'zone-lost', true);
      for (const node of this.nodes) for (const call of [...node.calls]) call.onZoneLost(zone);
    });
  }

  /** Replaces the nodes and targets of a lost zone; the new targets are cold. */
  restoreZone(zone: string, coldFactor: number, warmUpMs: number): void {
    this.network.restore(zone);
    for (const service of this.deployment.services) {
      for (const target of service.targets) {
        if (target.zone !== zone) continue;
        this.createSide(service, target);
        this.targetSide(target.id).backEnd.start(coldFactor, warmUpMs);
      }
    }
    this.queue.schedule(this.options.gossipMs, () => {
      for (const target of this.targetsIn(zone)) this.exclude(target.id, 'zone-lost', false);
    });
  }

  private targetsIn(zone: string): readonly TargetModel[] {
    return this.deployment.services.flatMap(({ targets }) =>
      targets.filter((target) => target.zone === zone),
    );
  }

  private createNodes(): EmulatedNode[] {
    const { deployment, policy, seed } = this.options;
    const all: EmulatedNode[] = [];
    for (const { name, region } of deployment.zones) {
      const nodes = Array.from({ length: this.countNodes(name) }, (_, index) => {
        const id = `${name}-node-${index + 1}`;
        const viewOf = (service: string) => this.directory.viewOfNode(service, id, name);
        return new EmulatedNode(id, name, region, policy, seed, viewOf);
      });
      this.nodesByZone.set(name, nodes);
      all.push(...nodes);
    }
    return all;
  }

  private countNodes(zone: string): number {
    const { nodesPerZone } = this.deployment;
    if (nodesPerZone !== ONE_PER_TARGET) return nodesPerZone;
    return Math.max(1, this.targetsIn(zone).length);
  }

  private createSides(service: ServiceModel): void {
    for (const target of service.targets) this.createSide(service, target);
  }

  private createSide(service: ServiceModel, target: TargetModel): void {
    const { policy, seed, deployment } = this.options;
    this.incarnations += 1;
    const purpose = `${target.id} ${this.incarnations}`;
    const nodes = this.nodesByZone.get(target.zone)!;
    const node = nodes[this.positionInZone(target) % nodes.length]!;
    const gate = policy.createTargetGate({
      initialLimit: service.slots,
      maxLimit: service.connections,
      seed: deriveSeed(seed, `gate ${purpose}`),
    });
    const random = createStream(seed, `back end ${purpose}`);
    const side = new TargetSide(this, node, {
      target: target.id,
      serviceIndex: deployment.services.indexOf(service),
      gate,
      backEnd: new EmulatedBackEnd(this.queue, service.slots, random),
      pool: new ConnectionPool(this.queue, service.connections, deployment.connectMs),
      ledger: new AttemptLedger(),
    });
    this.sides.set(target.id, side);
  }

  /**
   * Position of a target among those of its zone, which spreads them evenly over the zone's nodes.
   */
  private positionInZone(target: TargetModel): number {
    let position = this.positions.get(target.id);
    if (position === undefined) {
      position = this.targetCounts.get(target.zone) ?? 0;
      this.targetCounts.set(target.zone, position + 1);
      this.positions.set(target.id, position);
    }
    return position;
  }

  private entryNode(zoneIndex: number, choice: number): EmulatedNode | undefined {
    const zone = this.network.entryZone(zoneIndex);
    if (zone === undefined) return undefined;
    const nodes = this.nodesByZone.get(zone)!;
    return nodes[Math.floor(choice * nodes.length)];
  }
}
