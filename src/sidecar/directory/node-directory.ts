/**
 * Directory of all nodes and the links to them. Addresses come from the store's records. Whether a node's
 * target accepts requests comes from the last status that the node sent over its link, else from its record.
 */
import { rankNodes } from '../../core/rendezvous.js';
import type { TargetView } from '../../core/overload.js';
import { chooseSubset, subsetRank } from '../../core/routing/target-subset.js';
import type { Clock } from '../../kernel/clock.js';
import { pause } from '../../kernel/pause.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { StoreEvent, StoreItem } from '../../store/metadata-store.js';
import type { AttemptPort } from '../link/attempt-port.js';
import type { NodeStatus } from '../link/link-messages.js';
import { RejectedMembersLog } from '../link/rejected-members-log.js';
import type { QuotaPort } from '../quota/quota-messages.js';
import type { RulesConfirmation } from '../rules/rules-freshness.js';
import { incarnationText } from './target-registration.js';
import { PeerLink } from '../link/peer-link.js';
import { toCandidate, viewOf, withIncarnation, type Peer, type PeerCandidate } from './peer.js';
import type { QuarantineExchange, QuarantineUpdate } from '../quarantine/quarantine-update.js';
import { recordBatchPauseMs } from './watch-timing.js';
import { RelayedLimits } from './relayed-limits.js';
import { decodeNodeRecord, NODE_RECORD_PREFIX, type NodeRecord } from './node-record.js';

export interface NodeDirectoryOptions {
  /** This node; its record is not a peer's. */
  readonly node: string;
  readonly zone: string;
  readonly region: string;
  readonly service: string;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Runs attempts at the local target. */
  readonly localTarget: AttemptPort;
  /** Counts tenants' limits at this node. */
  readonly localQuota: QuotaPort;
  status(): NodeStatus;
  /** The document of the rules in force; undefined while there are none. */
  rulesDocument(): Buffer | undefined;
  readonly quarantine: QuarantineExchange;
  /** Called when targets of a service joined, left or changed. */
  onServiceChanged(service: string): void;
  /**
   * Called when a peer reports the version of its rules.
   *
   * @param request requests this peer's rules
   */
  onPeerRules(version: number, request: () => void): void;
  onRulesDocument(document: Uint8Array): void;
  /**
   * Called when a peer reports how recently its rules were confirmed.
   *
   * @param requestedAt boot time of the request that the report answers; the report is not older
   */
  onRulesConfirmation(confirmation: RulesConfirmation, requestedAt: number): void;
  /** Whether this node receives changes from the store now. */
  isStoreAvailable(): boolean;
  /** Called when an open connection to a peer has become unresponsive. */
  onPeerUnresponsive(node: string): void;
  /** Called when the store holds no valid record of this node. */
  onOwnRecordLost(): void;
  /** Called when a peer reports that this incarnation of the local target has left. */
  onLocalTargetLeft(incarnation: string): void;
}

/** Longest time in which a node writes an expired record again once the store is available, in milliseconds. */
const MAX_RECORD_REWRITE_MS = 2_000;

/**
 * Time for which a node with an expired record is kept, in milliseconds. By its end a rewritten record would
 * have been received.
 */
export function expiredRecordGraceMs(nodes: number): number {
  return MAX_RECORD_REWRITE_MS + recordBatchPauseMs(nodes);
}

/** Peers that a starting node connects to before it trusts an old record of itself. */
const STARTUP_PEERS = 3;
/** Longest wait for the first of these connections, in milliseconds. */
const STARTUP_CONNECT_TIMEOUT_MS = 600;
const STARTUP_CONNECT_CHECK_MS = 20;
/** Time for peers to send their reports about this node after the first link has opened, in milliseconds. */
const STARTUP_REPORT_MS = 100;

/** Factor by which a subset is widened when its targets have more than one attempt of this node each. */
const SUBSET_WIDENING_FACTOR = 2;

/** Tracks the nodes of the system and owns the links to them. */
export class NodeDirectory {
  private readonly peers = new Map<string, Peer>();
  /**
   * Incarnations of targets that have left, by node. The store may restore an older record; a node that
   * restarts from it would restore its target as ready.
   */
  private readonly leftTargets = new Map<string, string>();
  /** Kept beyond a node's record, which may expire while the node restarts. */
  private readonly relayedLimits = new RelayedLimits();
  /** Time until which missing records may still be written again. */
  private recoveringUntil = -Infinity;
  /** Services that this node calls, with their subsets. */
  private readonly called = new Map<string, CalledTargets>();
  private readonly rejectedMembers: RejectedMembersLog;

  constructor(private readonly options: NodeDirectoryOptions) {
    this.rejectedMembers = new RejectedMembersLog(options.clock, options.log);
  }

  /** Number of known nodes, this one included. */
  get size(): number {
    return this.peers.size + 1;
  }

  /** Replaces all records with a listing of the store. */
  replaceAll(items: readonly StoreItem[]): void {
    const present = new Set(items.map(({ key }) => key.slice(NODE_RECORD_PREFIX.length)));
    if (!present.has(this.options.node)) this.options.onOwnRecordLost();
    for (const node of [...this.peers.keys()]) if (!present.has(node)) this.onRemoved(node);
    for (const item of items) this.onRecord(item.key, item.value);
  }

  /** Applies changes of the store. */
  apply(events: readonly StoreEvent[]): void {
    for (const event of events) {
      if (event.type === 'put') this.onRecord(event.key, event.value);
      else this.onRemoved(event.key.slice(NODE_RECORD_PREFIX.length));
    }
  }

  /** Called when the store was restored from an older copy. Nodes whose records it lacks write them again. */
  onStoreEraChanged(): void {
    this.recoveringUntil = this.options.clock.now() + expiredRecordGraceMs(this.size);
  }

  /** Incarnation of a node's target that has left; undefined when none is known. */
  leftTargetOf(node: string): string | undefined {
    return this.leftTargets.get(node);
  }

  /** Connects to some peers; resolves when they have had time to report what they know of this node. */
  async waitForPeerReports(): Promise<void> {
    const { clock } = this.options;
    const startupPeers = [...this.peers.values()].slice(0, STARTUP_PEERS);
    for (const { link } of startupPeers) link.open();
    const end = clock.now() + STARTUP_CONNECT_TIMEOUT_MS;
    while (clock.now() < end && !startupPeers.some(({ link }) => link.isReachable)) {
      await pause(clock, STARTUP_CONNECT_CHECK_MS);
    }
    await pause(clock, STARTUP_REPORT_MS);
  }

  /** Links that this node uses, by whether the other node responds. */
  linkCounts(): { readonly reachable: number; readonly unreachable: number } {
    const links = [...this.peers.values()].map(({ link }) => link);
    return {
      reachable: links.filter(({ isReachable }) => isReachable).length,
      unreachable: links.filter(({ isKnownUnreachable }) => isKnownUnreachable).length,
    };
  }

  /** Whether the link to a node is open. */
  isReachable(node: string): boolean {
    return this.peers.get(node)?.link.isReachable ?? false;
  }

  /**
   * Returns the targets of a service that this node uses, for routing, and opens the links to their nodes.
   * A target's id is its node's. See {@link chooseSubset}.
   */
  viewsOf(service: string): readonly TargetView[] {
    const called = this.calledTargets(service);
    const candidates: PeerCandidate[] = [];
    for (const [id, peer] of this.peers) {
      if (peer.record.service === service) candidates.push(toCandidate(id, peer));
    }
    const subset = chooseSubset(candidates, this.options.zone, called.width);
    called.size = subset.length;
    called.isWhole = subset.length === candidates.length;
    for (const { peer } of subset) peer.link.open();
    const views = subset.map(({ id, peer }) => viewOf(id, peer));
    if (service === this.options.service) views.push(this.ownView());
    return views;
  }

  /**
   * Widens the subset of a service when more attempts are in progress than it has targets. A caller with so
   * many attempts is one of few, and a narrow subset would overload its targets while others are idle.
   *
   * @returns whether the subset was widened
   */
  widen(service: string, attempts: number): boolean {
    const called = this.calledTargets(service);
    if (called.isWhole || attempts <= called.size) return false;
    called.width *= SUBSET_WIDENING_FACTOR;
    // Prevents another widening until the targets are read again.
    called.size = attempts;
    return true;
  }

  /**
   * Returns the node whose target runs the trials of a request, chosen by rendezvous hashing: all nodes with
   * the same records choose the same one. Undefined while this node has no open link to it.
   */
  trialNodeOf(service: string, content: string): string | undefined {
    const candidates = [...this.peers]
      .filter(([, { record }]) => record.service === service && record.target === 'ready')
      .map(([node]) => node);
    if (service === this.options.service && this.ownView().eligible) {
      candidates.push(this.options.node);
    }
    const [node] = rankNodes(content, candidates);
    if (node === undefined || node === this.options.node) return node;
    const link = this.peers.get(node)?.link;
    link?.open();
    return link?.isReachable === true ? node : undefined;
  }

  /** Nodes that can be asked to count tenants' limits, this one included. */
  countingCandidates(): readonly string[] {
    const nodes = [this.options.node];
    for (const [node, { link }] of this.peers) if (!link.isKnownUnreachable) nodes.push(node);
    return nodes;
  }

  /** Nodes of this node's region that are not known to be unreachable, this one included. */
  reachableNodesOfRegion(): readonly string[] {
    const nodes = [this.options.node];
    for (const [node, { link, record }] of this.peers) {
      if (!link.isKnownUnreachable && record.region === this.options.region) nodes.push(node);
    }
    return nodes;
  }

  /** Port to a node that counts tenants' limits; undefined while no link to it is open. */
  quotaPortOf(node: string): QuotaPort | undefined {
    return node === this.options.node ? this.options.localQuota : this.openLinkTo(node);
  }

  /** Nodes that are not known to be unreachable, with the service of their target, this one included. */
  reachableNodes(): readonly { readonly node: string; readonly service: string }[] {
    const nodes = [{ node: this.options.node, service: this.options.service }];
    for (const [node, { link, record }] of this.peers) {
      if (!link.isKnownUnreachable) nodes.push({ node, service: record.service });
    }
    return nodes;
  }

  /** Ready targets of a service whose nodes this one has an open link to, the local target included. */
  reachableTargets(service: string): number {
    let count = service === this.options.service && this.ownView().eligible ? 1 : 0;
    for (const { link, record, lastStatus } of this.peers.values()) {
      const state = lastStatus?.target ?? record.target;
      if (record.service === service && link.isReachable && state === 'ready') count += 1;
    }
    return count;
  }

  /** Link to another node; undefined while it is not open. Opens it. */
  openLinkTo(node: string): PeerLink | undefined {
    const link = this.peers.get(node)?.link;
    link?.open();
    return link?.isReachable === true ? link : undefined;
  }

  /** Link to a node that takes reports about admission; undefined while no such link is open. */
  admissionLinkTo(node: string): PeerLink | undefined {
    const link = this.openLinkTo(node);
    return this.peers.get(node)?.lastStatus?.admission === true ? link : undefined;
  }

  /** Port to the target of a node. */
  portOf(node: string): AttemptPort | undefined {
    if (node === this.options.node) return this.options.localTarget;
    return this.peers.get(node)?.link;
  }

  /** Sends this node's status to all connected nodes. */
  announceStatus(): void {
    const status = this.options.status();
    for (const { link } of this.peers.values()) link.announceStatus(status);
  }

  /**
   * Asks these nodes how recently their rules were confirmed, and connects to those that are not connected.
   *
   * @returns the number of nodes asked
   */
  requestConfirmationsOf(nodes: readonly string[]): number {
    const links = nodes.flatMap((node) => this.peers.get(node)?.link ?? []);
    for (const link of links) link.open();
    const reachable = links.filter(({ isReachable }) => isReachable);
    for (const link of reachable) link.requestConfirmation();
    return reachable.length;
  }

  /** Checks that all connected nodes respond. */
  verifyLinks(): void {
    for (const { link } of this.peers.values()) link.verify();
  }

  /** Sends a quarantine update to all connected nodes. */
  sendUpdate(update: QuarantineUpdate): void {
    for (const { link } of this.peers.values()) link.sendUpdate(update);
  }

  /** Closes all links. */
  close(): void {
    for (const { link, cancelRemoval } of this.peers.values()) {
      cancelRemoval();
      link.close('stopped');
    }
    this.peers.clear();
  }

  private ownView(): TargetView {
    const { node, zone, region } = this.options;
    const { target, incarnation } = this.options.status();
    return {
      id: node,
      zone,
      region,
      eligible: target === 'ready',
      ...withIncarnation(incarnation),
    };
  }

  private calledTargets(service: string): CalledTargets {
    let called = this.called.get(service);
    if (called === undefined) {
      called = { width: 1, size: 0, isWhole: true };
      this.called.set(service, called);
    }
    return called;
  }

  private onRecord(key: string, value: Buffer): void {
    const record = decodeNodeRecord(key, value);
    if (record === undefined) {
      // Another writer has overwritten the record. It is treated as missing; its node writes it again.
      this.options.log.emit(Event.MemberRecordRejected, { key, bytes: value.length });
      this.onRemoved(key.slice(NODE_RECORD_PREFIX.length));
      return;
    }
    if (record.node === this.options.node) return;
    if (record.target === 'leaving') this.leftTargets.set(record.node, incarnationIn(record));
    const known = this.peers.get(record.node);
    if (known?.record.address === record.address && known.record.service === record.service) {
      known.isRecordExpired = false;
      known.cancelRemoval();
      known.record = record;
      known.rank = this.rankOf(record);
    } else {
      if (known !== undefined)
        this.remove(record.node, known, 'its address or service has changed');
      this.add(record);
    }
    this.options.onServiceChanged(record.service);
  }

  private add(record: NodeRecord): void {
    const { clock, log } = this.options;
    const { node, address, service } = record;
    const link = new PeerLink({
      node,
      address,
      clock,
      status: () => this.options.status(),
      rulesDocument: () => this.options.rulesDocument(),
      quarantine: this.options.quarantine,
      leftTarget: () => this.leftTargets.get(node),
      relayedLimit: () => this.relayedLimits.of(node),
      listener: {
        onLocalTargetLeft: (incarnation) => {
          this.options.onLocalTargetLeft(incarnation);
        },
        onStatus: (status) => {
          this.onStatus(node, status);
        },
        onRequestLimit: (requestsPerSecond) => {
          this.onRequestLimit(node, requestsPerSecond);
        },
        onRejectedMembers: (members) => {
          this.rejectedMembers.onRejected(node, members);
        },
        onReachableChanged: (reachable, detail) => {
          this.onReachable(node, reachable, detail);
        },
        onUnresponsive: () => {
          this.options.onPeerUnresponsive(node);
        },
        onRules: (document) => {
          this.options.onRulesDocument(document);
        },
        onRulesConfirmation: (confirmation, requestedAt) => {
          this.options.onRulesConfirmation(confirmation, requestedAt);
        },
      },
    });
    const rank = this.rankOf(record);
    const state = { lastStatus: undefined, isRecordExpired: false, cancelRemoval: () => {} };
    this.peers.set(node, { record, rank, link, ...state });
    log.emit(Event.MemberJoined, { peer: node, address, service });
  }

  private rankOf({ node, targetSlots }: NodeRecord): number {
    return subsetRank(this.options.node, node, targetSlots ?? 1);
  }

  /**
   * A missing record does not mean that its node failed: the lease may have expired while the store was
   * unavailable. A running node that reaches the store writes it again; a node that does not is removed.
   */
  private onRemoved(node: string): void {
    if (node === this.options.node) this.options.onOwnRecordLost();
    const peer = this.peers.get(node);
    if (peer === undefined || peer.isRecordExpired) return;
    peer.isRecordExpired = true;
    if (!peer.link.isReachable && this.options.clock.now() >= this.recoveringUntil) {
      this.remove(node, peer, 'its record is missing from the store');
      return;
    }
    this.scheduleRemoval(node, peer);
  }

  /** Waits longer while this node cannot reach the store, since it would not receive the rewritten record. */
  private scheduleRemoval(node: string, peer: Peer): void {
    const { clock, isStoreAvailable } = this.options;
    peer.cancelRemoval = clock.schedule(expiredRecordGraceMs(this.size), () => {
      if (isStoreAvailable()) this.remove(node, peer, 'its record was not written again in time');
      else this.scheduleRemoval(node, peer);
    });
  }

  private remove(node: string, peer: Peer, detail: string): void {
    this.peers.delete(node);
    peer.cancelRemoval();
    peer.link.close(detail);
    this.options.log.emit(Event.MemberFailed, { peer: node, detail });
    this.options.onServiceChanged(peer.record.service);
  }

  private onStatus(node: string, status: NodeStatus): void {
    const peer = this.peers.get(node);
    if (peer === undefined) return;
    this.options.onPeerRules(status.rulesVersion, () => {
      peer.link.requestRules();
    });
    if (status.service !== peer.record.service) {
      this.remove(node, peer, `the node now fronts ${status.service}`);
      return;
    }
    const { lastStatus } = peer;
    const isSame =
      lastStatus?.target === status.target &&
      lastStatus.incarnation === status.incarnation &&
      lastStatus.targetLeft === status.targetLeft &&
      lastStatus.admission === status.admission;
    if (isSame) return;
    peer.lastStatus = status;
    const { target, incarnation, targetLeft } = status;
    if (incarnation !== undefined) this.relayedLimits.onIncarnation(node, incarnation);
    if (targetLeft === true && incarnation !== undefined) this.leftTargets.set(node, incarnation);
    this.options.log.emit(Event.PeerTargetChanged, { peer: node, target, incarnation });
    this.options.onServiceChanged(status.service);
  }

  private onRequestLimit(node: string, requestsPerSecond: number | undefined): void {
    const incarnation = this.peers.get(node)?.lastStatus?.incarnation;
    if (incarnation !== undefined) this.relayedLimits.note(node, incarnation, requestsPerSecond);
  }

  private onReachable(node: string, reachable: boolean, detail: string): void {
    const peer = this.peers.get(node);
    if (peer === undefined) return;
    const event = reachable ? Event.PeerConnected : Event.PeerDisconnected;
    this.options.log.emit(event, { peer: node, detail });
    this.options.onServiceChanged(peer.record.service);
  }
}

/** State of the subset of a service's targets that this node uses. */
interface CalledTargets {
  /** Multiple of the normal subset size. */
  width: number;
  /** Number of targets in the subset when they were last read. */
  size: number;
  /** Whether the subset holds all targets of the service. */
  isWhole: boolean;
}

/** Incarnation of the target that a record names. */
function incarnationIn({ targetId: id, targetStartedAt: startedAt }: NodeRecord): string {
  return incarnationText(startedAt === undefined ? { id } : { id, startedAt });
}
