/**
 * All nodes and the links to them. Addresses come from the store's records; whether a node's
 * target takes work comes from the node itself while a link is open, else from its record.
 */
import { rankNodes } from '../../core/rendezvous.js';
import type { TargetView } from '../../core/overload.js';
import {
  chooseSubset,
  subsetRank,
  type SubsetCandidate,
} from '../../core/routing/target-subset.js';
import type { Random } from '../../core/random.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import { pause } from '../../kernel/pause.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { StoreEvent, StoreItem } from '../../store/metadata-store.js';
import type { AttemptPort } from '../link/attempt-port.js';
import type { NodeStatus } from '../link/link-messages.js';
import type { QuotaPort } from '../quota/quota-messages.js';
import type { RulesConfirmation } from '../rules/rules-freshness.js';
import { incarnationText } from './target-registration.js';
import { PeerLink } from '../link/peer-link.js';
import type { QuarantineExchange, QuarantineUpdate } from '../quarantine/quarantine-update.js';
import { gatherRecordsMs } from './watch-timing.js';
import { decodeNodeRecord, NODE_RECORD_PREFIX, type NodeRecord } from './node-record.js';

/** What the directory works with. */
export interface NodeDirectoryOptions {
  /** This node; its record is not a peer's. */
  readonly node: string;
  readonly zone: string;
  readonly region: string;
  readonly service: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly random: Random;
  /** The own target. */
  readonly localTarget: AttemptPort;
  /** Counts limits of tenants here. */
  readonly localQuota: QuotaPort;
  status(): NodeStatus;
  /** The rules in force as a document; undefined: none. */
  rulesDocument(): Buffer | undefined;
  readonly quarantine: QuarantineExchange;
  /** Targets of a service came, left or changed. */
  onServiceChanged(service: string): void;
  /** A peer knows rules of this version. */
  onPeerRules(version: number, request: () => void): void;
  onRulesDocument(document: Uint8Array): void;
  /** A peer has told, not before this boot time, how recently its rules were confirmed. */
  onRulesConfirmation(confirmation: RulesConfirmation, askedAt: number): void;
  /** Whether changes of the store are heard now. */
  isStoreAvailable(): boolean;
  /** The store holds no record of this node. */
  onOwnRecordLost(): void;
  /** A peer remembers that the own target has left in this life. */
  onOwnTargetLeft(incarnation: string): void;
}

/** Time after the store is back in which a node whose record has ended writes it again, in milliseconds. */
const REWRITE_WITHIN_MS = 2_000;

/** Time for which a node whose record has ended stays known: until a new one would be heard of. */
export function lapsedGraceMs(nodes: number): number {
  return REWRITE_WITHIN_MS + gatherRecordsMs(nodes);
}

/** Peers that a starting node hears before it trusts an old record of itself. */
const PEERS_HEARD = 3;
/** Longest wait for the first of them, in milliseconds. */
const HEAR_WITHIN_MS = 600;
const HEAR_CHECK_MS = 20;
/** Peers that are asked at once whether the rules are the newest. */
const PEERS_ASKED = 3;
/** Time for what a peer has to say after its link has opened, in milliseconds. */
const HEAR_ANSWER_MS = 100;

/** Factor by which a subset is widened when its targets have more than one try of this node each. */
const WIDTH_STEP = 2;

interface Peer {
  record: NodeRecord;
  /** Place in this node's order of targets; see {@link subsetRank}. */
  rank: number;
  readonly link: PeerLink;
  /** As the node itself said last over the link. */
  said: NodeStatus | undefined;
  /** The record is gone from the store; the link alone keeps the node, and not for long. */
  lapsed: boolean;
  cancelLapse: CancelTimer;
}

/** See the module comment. */
export class NodeDirectory {
  private readonly peers = new Map<string, Peer>();
  /**
   * Lives in which nodes' targets have left, by node. A node that starts anew from a record that the store
   * has brought back may take its target for ready.
   */
  private readonly leftTargets = new Map<string, string>();
  /** Until then records may be missing that are about to be written again. */
  private recoversUntil = -Infinity;
  /** Services that this node calls, with their subsets. */
  private readonly called = new Map<string, CalledTargets>();

  constructor(private readonly options: NodeDirectoryOptions) {}

  /** Nodes known, this one included. */
  get size(): number {
    return this.peers.size + 1;
  }

  /** Takes in all records of the store. */
  replaceAll(items: readonly StoreItem[]): void {
    const present = new Set(items.map(({ key }) => key.slice(NODE_RECORD_PREFIX.length)));
    if (!present.has(this.options.node)) this.options.onOwnRecordLost();
    for (const node of [...this.peers.keys()]) if (!present.has(node)) this.onRemoved(node);
    for (const item of items) this.onRecord(item.key, item.value);
  }

  /** Takes in changes of the store. */
  apply(events: readonly StoreEvent[]): void {
    for (const event of events) {
      if (event.type === 'put') this.onRecord(event.key, event.value);
      else this.onRemoved(event.key.slice(NODE_RECORD_PREFIX.length));
    }
  }

  /** The store has come back from an older copy: nodes that it lacks write their records again. */
  onStoreEraChanged(): void {
    this.recoversUntil = this.options.clock.now() + lapsedGraceMs(this.size);
  }

  /** Life in which a node's target has left; undefined: none that is known. */
  leftTargetOf(node: string): string | undefined {
    return this.leftTargets.get(node);
  }

  /** Resolves when peers have had time to tell what they remember of this node. */
  async hearPeers(): Promise<void> {
    const { clock } = this.options;
    const asked = [...this.peers.values()].slice(0, PEERS_HEARD);
    for (const { link } of asked) link.open();
    const end = clock.now() + HEAR_WITHIN_MS;
    while (clock.now() < end && !asked.some(({ link }) => link.isReachable)) {
      await pause(clock, HEAR_CHECK_MS);
    }
    await pause(clock, HEAR_ANSWER_MS);
  }

  /** Whether the link to a node is open. */
  isReachable(node: string): boolean {
    return this.peers.get(node)?.link.isReachable ?? false;
  }

  /**
   * The targets of a service that this node uses, as routing sees them; a target's id is its node's.
   * Links to their nodes are opened; see {@link chooseSubset}.
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
   * Widens the subset of a service when more tries are under way than it has targets: a caller with so
   * many is one of few, and a narrow subset would crowd its targets while others are idle.
   *
   * @returns whether it was widened
   */
  widen(service: string, tries: number): boolean {
    const called = this.calledTargets(service);
    if (called.isWhole || tries <= called.size) return false;
    called.width *= WIDTH_STEP;
    // Until the targets are read again.
    called.size = tries;
    return true;
  }

  /**
   * The node whose target runs the trials of a request: the same at all nodes with the same records, by
   * rendezvous hashing. Undefined while this node has no open link to it.
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

  /** Nodes that can be asked to count limits, this one included. */
  countingCandidates(): readonly string[] {
    const nodes = [this.options.node];
    for (const [node, { link }] of this.peers) if (!link.isOutOfReach) nodes.push(node);
    return nodes;
  }

  /** Way to a node that counts limits; undefined while there is no open link to it. */
  quotaPortOf(node: string): QuotaPort | undefined {
    if (node === this.options.node) return this.options.localQuota;
    const link = this.peers.get(node)?.link;
    link?.open();
    return link?.isReachable === true ? link : undefined;
  }

  /** Way to the target beside a node. */
  portOf(node: string): AttemptPort | undefined {
    if (node === this.options.node) return this.options.localTarget;
    return this.peers.get(node)?.link;
  }

  /** Tells all connected nodes what this node now says of itself. */
  announceStatus(): void {
    const status = this.options.status();
    for (const { link } of this.peers.values()) link.announceStatus(status);
  }

  /**
   * Asks some nodes, at random, how recently their rules were confirmed.
   *
   * @returns how many were asked
   */
  requestConfirmations(): number {
    const reachable = [...this.peers.values()].filter(({ link }) => link.isReachable);
    const first = Math.floor(this.options.random.next() * reachable.length);
    const asked = Math.min(PEERS_ASKED, reachable.length);
    for (let count = 0; count < asked; count += 1) {
      reachable[(first + count) % reachable.length]!.link.requestConfirmation();
    }
    return asked;
  }

  /** Tells all connected nodes of requests under which targets ended. */
  sendUpdate(update: QuarantineUpdate): void {
    for (const { link } of this.peers.values()) link.sendUpdate(update);
  }

  /** Ends all links. */
  close(): void {
    for (const { link, cancelLapse } of this.peers.values()) {
      cancelLapse();
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
      // Of another writer: it names no target, as if it were not there; its node writes it again.
      this.options.log.emit(Event.MemberRecordRejected, { key, bytes: value.length });
      this.onRemoved(key.slice(NODE_RECORD_PREFIX.length));
      return;
    }
    if (record.node === this.options.node) return;
    if (record.target === 'leaving') this.leftTargets.set(record.node, lifeIn(record));
    const known = this.peers.get(record.node);
    if (known?.record.address === record.address && known.record.service === record.service) {
      known.lapsed = false;
      known.cancelLapse();
      known.record = record;
      known.rank = this.rankOf(record);
    } else {
      if (known !== undefined) this.remove(record.node, known, 'the node has moved');
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
      listener: {
        onOwnTargetLeft: (incarnation) => {
          this.options.onOwnTargetLeft(incarnation);
        },
        onStatus: (status) => {
          this.onStatus(node, status);
        },
        onReachableChanged: (reachable, detail) => {
          this.onReachable(node, reachable, detail);
        },
        onRules: (document) => {
          this.options.onRulesDocument(document);
        },
        onRulesConfirmation: (confirmation, askedAt) => {
          this.options.onRulesConfirmation(confirmation, askedAt);
        },
      },
    });
    const rank = this.rankOf(record);
    const state = { said: undefined, lapsed: false, cancelLapse: () => {} };
    this.peers.set(node, { record, rank, link, ...state });
    log.emit(Event.MemberJoined, { peer: node, address, service });
  }

  private rankOf({ node, targetSlots }: NodeRecord): number {
    return subsetRank(this.options.node, node, targetSlots ?? 1);
  }

  /**
   * The end of a record alone is no death: its lease may have run out while the store was away. A
   * node that lives and reaches the store writes it again; one that does not is taken as gone.
   */
  private onRemoved(node: string): void {
    if (node === this.options.node) this.options.onOwnRecordLost();
    const peer = this.peers.get(node);
    if (peer === undefined || peer.lapsed) return;
    peer.lapsed = true;
    if (!peer.link.isReachable && this.options.clock.now() >= this.recoversUntil) {
      this.remove(node, peer, 'its record has ended');
      return;
    }
    this.removeLater(node, peer);
  }

  /** While the store is away for this node, it cannot hear that the record is back. */
  private removeLater(node: string, peer: Peer): void {
    const { clock, isStoreAvailable } = this.options;
    peer.cancelLapse = clock.schedule(lapsedGraceMs(this.size), () => {
      if (isStoreAvailable()) this.remove(node, peer, 'its record has not come back');
      else this.removeLater(node, peer);
    });
  }

  private remove(node: string, peer: Peer, detail: string): void {
    this.peers.delete(node);
    peer.cancelLapse();
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
    const { said } = peer;
    const isSame =
      said?.target === status.target &&
      said.incarnation === status.incarnation &&
      said.targetLeft === status.targetLeft;
    if (isSame) return;
    peer.said = status;
    const { target, incarnation, targetLeft } = status;
    if (targetLeft === true && incarnation !== undefined) this.leftTargets.set(node, incarnation);
    this.options.log.emit(Event.PeerTargetChanged, { peer: node, target, incarnation });
    this.options.onServiceChanged(status.service);
  }

  private onReachable(node: string, reachable: boolean, detail: string): void {
    const peer = this.peers.get(node);
    if (peer === undefined) return;
    const event = reachable ? Event.PeerConnected : Event.PeerDisconnected;
    this.options.log.emit(event, { peer: node, detail });
    this.options.onServiceChanged(peer.record.service);
  }
}

/** The subset of a service's targets that this node uses. */
interface CalledTargets {
  width: number;
  /** Targets in it when they were last read. */
  size: number;
  /** Whether it holds all targets. */
  isWhole: boolean;
}

interface PeerCandidate extends SubsetCandidate {
  readonly peer: Peer;
}

function toCandidate(id: string, peer: Peer): PeerCandidate {
  const { record, rank, link, said } = peer;
  const usable = !link.isOutOfReach && (said?.target ?? record.target) === 'ready';
  return { id, zone: record.zone, rank, usable, peer };
}

/** Life of the target that a record names. */
function lifeIn({ targetId: id, targetStartedAt: startedAt }: NodeRecord): string {
  return incarnationText(startedAt === undefined ? { id } : { id, startedAt });
}

function viewOf(id: string, peer: Peer): TargetView {
  const { record, said } = peer;
  const { zone, region } = record;
  return { id, zone, region, eligible: isEligible(peer), ...withIncarnation(said?.incarnation) };
}

function withIncarnation(incarnation: string | undefined): { readonly incarnation?: string } {
  return incarnation === undefined ? {} : { incarnation };
}

function isEligible({ record, link, said }: Peer): boolean {
  return link.isPromising && (said?.target ?? record.target) === 'ready';
}
