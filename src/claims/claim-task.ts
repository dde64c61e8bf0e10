/** Claim service of one node: connects the replicas, coordinators and placement of all groups. */
import type { Result } from 'true-myth';
import type { PlacementRecord } from '../core/claim/placement.js';
import type { ReplicaStatus } from '../core/claim/replica-messages.js';
import type { Failure } from '../core/failure.js';
import type { HttpAnswer } from '../core/http-message.js';
import { createRandom } from '../core/random.js';
import type { Clock } from '../kernel/clock.js';
import type { EventLog } from '../kernel/event.js';
import type { Metrics } from '../kernel/metrics.js';
import type { Membership } from '../membership/membership.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { PlatformClient } from '../etcd/platform-client.js';
import { ChargeRequester } from './charge-requester.js';
import { ClaimRequester } from './claim-requester.js';
import type {
  AttemptCharge,
  ChargeGrant,
  ClaimDecision,
  ClaimRequest,
  ClaimService,
} from './claim-service.js';
import { DEFAULT_CLAIM_TIMING, type ClaimTiming } from './claim-timing.js';
import { GroupDirectory } from './group-directory.js';
import { serveGroups } from './group-service.js';
import { GroupManager } from './group-manager.js';
import { ReplicaDelivery } from './replica-delivery.js';
import type { GroupAccess } from './group-access.js';

/** Options of a {@link ClaimTask}. */
export interface ClaimTaskOptions {
  readonly nodeId: string;
  /** Unique per process start and increasing; see `createIncarnation`. */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly platform: PlatformClient;
  /** Requests that may wait for one local replica. */
  readonly mailboxCapacity: number;
  /** Largest page of a transferred table, in bytes. */
  readonly pageBytes?: number | undefined;
  /** Number of groups when this node creates the layout of the fleet. */
  readonly wantedGroups?: number | undefined;
  readonly timing?: ClaimTiming;
  readonly metrics?: Metrics;
}

/** Distinguishes process starts within one millisecond or after the wall clock was set back. */
const INCARNATIONS_PER_MS = 4_096;

/**
 * Creates the incarnation of a process: start time with random low bits.
 *
 * @param wallNowMs Unix milliseconds
 * @param fraction random, in [0, 1)
 */
export function createIncarnation(wallNowMs: number, fraction: number): number {
  return Math.floor(wallNowMs) * INCARNATIONS_PER_MS + Math.floor(fraction * INCARNATIONS_PER_MS);
}

/** The claim service with its replicas. */
export class ClaimTask implements ClaimService {
  private readonly directory: GroupDirectory;
  private readonly groupManager: GroupManager;
  private readonly delivery: ReplicaDelivery;
  private readonly clock: Clock;
  private readonly drainMs: number;
  private readonly claims: ClaimRequester;
  private readonly charges: ChargeRequester;
  private readonly metrics: Metrics | undefined;

  constructor(options: ClaimTaskOptions) {
    const { nodeId, incarnation, clock, log, membership } = options;
    const timing = options.timing ?? DEFAULT_CLAIM_TIMING;
    this.metrics = options.metrics;
    this.clock = clock;
    this.drainMs = timing.drainMs;
    const random = createRandom(incarnation % 2 ** 31);
    const { network, platform, mailboxCapacity, pageBytes, wantedGroups } = options;
    const self = { nodeId, incarnation };
    const directoryOptions = { self, network, clock, log, mailboxCapacity, pageBytes };
    this.directory = new GroupDirectory(directoryOptions);
    serveGroups(network, this.directory);
    const managerOptions = { clock, timing, random, membership, network, platform, wantedGroups };
    this.groupManager = new GroupManager({ ...managerOptions, directory: this.directory });
    const groupOf = (key: string): GroupAccess | undefined => this.directory.groupOf(key);
    this.delivery = new ReplicaDelivery({ clock, timing, groupOf });
    const requesterOptions = { clock, log, timing, random, delivery: this.delivery, groupOf };
    this.claims = new ClaimRequester(requesterOptions);
    this.charges = new ChargeRequester(requesterOptions, `${nodeId}#${incarnation}`);
  }

  /** Number of groups of the fleet; `undefined` until it is known. */
  get groupCount(): number | undefined {
    return this.directory.count;
  }

  /** Current status of the local replica of a group. */
  replicaStatusOf(group: number): ReplicaStatus {
    return this.directory.open(group).replica.view.status;
  }

  /** Newest placement record of a group that this node knows. */
  placementOf(group: number): PlacementRecord | undefined {
    return this.directory.open(group).placement;
  }

  /** Claims held by the local replica of a group. */
  replicaSizeOf(group: number): number {
    return this.directory.open(group).replica.view.size;
  }

  async claim(request: ClaimRequest): Promise<ClaimDecision> {
    const decision = await this.claims.claim(request);
    this.metrics?.claims.inc({ result: decision.type });
    return decision;
  }

  release(request: ClaimRequest): void {
    this.claims.release(request);
  }

  finish(request: ClaimRequest, answer: HttpAnswer | undefined): void {
    this.claims.finish(request, answer);
  }

  async charge(charge: AttemptCharge): Promise<Result<number, Failure>> {
    const granted = await this.chargeReturnable(charge);
    return granted.map(({ attempts }) => attempts);
  }

  async chargeReturnable(charge: AttemptCharge): Promise<Result<ChargeGrant, Failure>> {
    const granted = await this.charges.chargeReturnable(charge);
    this.metrics?.claims.inc({ result: granted.isOk ? 'charged' : 'charge-refused' });
    return granted;
  }

  /** Starts placement and recovery. */
  start(): void {
    this.groupManager.start();
  }

  /**
   * Planned stop: transfers the replicas' tables and delivers the pending messages of ended
   * claims; bounded in time.
   */
  async drain(): Promise<void> {
    const deadline = this.clock.now() + this.drainMs;
    await this.groupManager.transferPlaces();
    await this.delivery.drain(deadline);
  }

  /** Stops at once, without a drain. */
  stop(): void {
    this.delivery.stop();
    this.groupManager.stop();
    this.directory.close();
  }
}
