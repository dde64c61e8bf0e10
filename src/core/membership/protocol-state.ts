/** State shared by the parts of the membership protocol, and the actions they collect. */
import type { MemberFacts } from '../member.js';
import type { Random } from '../random.js';
import { GossipQueue } from './gossip-queue.js';
import { hashMember } from './member-hash.js';
import { stateOf, MemberTable, type MemberEntry } from './member-table.js';
import { measureUpdate, type ClaimPosition, type MemberUpdate } from './member-update.js';
import type {
  AckMessage,
  GossipMessage,
  MembershipAction,
  MembershipEvent,
  NackMessage,
  PingMessage,
  PingRequestMessage,
} from './membership-message.js';
import type { MembershipOptions } from './membership-options.js';
import type { VersionDigest } from './version-digest.js';
import { VersionMap } from './version-map.js';

type Header = 'from' | 'incarnation' | 'configVersion' | 'stateHash' | 'versions' | 'updates';

/** A datagram without its header. */
export type MessageContent =
  | Omit<PingMessage, Header>
  | Omit<AckMessage, Header>
  | Omit<PingRequestMessage, Header>
  | Omit<NackMessage, Header>
  | Omit<GossipMessage, Header>;

/** Approximate size of a datagram without updates, packet headers included. */
const HEADER_BYTES = 130;

/** Protocol state of one node, with the actions collected for the current input. */
export class ProtocolState {
  readonly table: MemberTable;
  readonly queue = new GossipQueue();
  /** Whether this node has announced its stop. */
  leaving = false;
  /** Lifeguard's local health score: 0 is healthy. */
  localHealth = 0;
  /** Highest rules version that this node knows of. */
  highestVersion = 0;
  /** Counts changes of what is known about rules versions. */
  versionChanges = 0;
  private readonly versionMap = new VersionMap(this);
  private actions: MembershipAction[] = [];
  private changed = false;

  private selfChanges = 0;

  constructor(
    public self: MemberFacts,
    readonly options: MembershipOptions,
    readonly random: Random,
  ) {
    this.table = new MemberTable(options);
  }

  /** Members that have not failed, this node included. */
  get fleetSize(): number {
    return this.table.listLive().length + 1;
  }

  /** Number of times that an update is sent. */
  get retransmitLimit(): number {
    return Math.ceil(this.options.retransmitMultiplier * Math.log10(this.fleetSize + 1));
  }

  /** Hash of this node's view, itself included. */
  get stateHash(): number {
    return (this.table.stateHash ^ hashMember(this.self, this.leaving)) >>> 0;
  }

  /** Counts changes of who is in the list of members. */
  get viewChanges(): number {
    return this.table.viewChanges + this.selfChanges;
  }

  emit(action: MembershipAction): void {
    this.actions.push(action);
  }

  emitEvent(event: MembershipEvent, nodeId: string): void {
    this.actions.push({ type: 'event', event, nodeId });
  }

  /** Records that the view has changed. */
  markChanged(): void {
    this.changed = true;
  }

  /** Applies what a datagram reports about rules versions. */
  applyVersions(digest: VersionDigest): void {
    this.versionMap.apply(digest);
  }

  /** Replaces this node's own facts. */
  setSelf(facts: MemberFacts): void {
    if (facts.incarnation !== this.self.incarnation) this.selfChanges += 1;
    this.self = facts;
    this.markChanged();
  }

  /** Ends the handling of one input; returns and clears its actions. */
  takeActions(): readonly MembershipAction[] {
    if (this.changed) this.actions.push({ type: 'changed' });
    this.changed = false;
    const taken = this.actions;
    this.actions = [];
    return taken;
  }

  /**
   * Sends a datagram with as many waiting updates as fit after those of `first`.
   *
   * @returns approximate size of the datagram in bytes
   */
  send(to: string, content: MessageContent, first: readonly MemberUpdate[] = []): number {
    const { nodeId, incarnation, configVersion } = this.self;
    const versions = this.versionMap.describe();
    const updates = this.queue.select(this.options.maxUpdateBytes, this.retransmitLimit, first);
    const { stateHash } = this;
    const header = { from: nodeId, incarnation, configVersion, stateHash, updates };
    const message = { ...content, ...header, ...(versions !== undefined && { versions }) };
    this.emit({ type: 'send', to, message });
    return updates.reduce((sum, update) => sum + measureUpdate(update), HEADER_BYTES);
  }

  /** This node's facts as an update that fits a datagram. */
  describeSelf(): MemberUpdate {
    return this.fitDatagram({ type: 'facts', facts: this.self, leaving: this.leaving });
  }

  /** An entry's facts as an update that fits a datagram. */
  describeEntry({ facts, leaving }: MemberEntry): MemberUpdate {
    return this.fitDatagram({ type: 'facts', facts, leaving });
  }

  /** This node's claim against a member, for the member to refute. */
  describeClaim(nodeId: string, incarnation: number): MemberUpdate | undefined {
    const entry = this.table.find(nodeId);
    const claim = entry === undefined ? this.table.findTombstone(nodeId) : entry.claim;
    if (claim?.incarnation !== incarnation) return undefined;
    const position: ClaimPosition = { incarnation, sequence: claim.sequence };
    return entry?.failedAt === undefined && entry?.suspicion !== undefined
      ? { type: 'suspect', nodeId, ...position, from: this.self.nodeId }
      : { type: 'failed', nodeId, ...position };
  }

  /**
   * Raises the known rules version of a member. The first report of a new version is gossiped
   * ahead of everything else; which other members have it is sent as {@link VersionMap} bits.
   */
  raiseVersion(nodeId: string, configVersion: number): void {
    const entry = this.table.find(nodeId);
    if (entry === undefined || configVersion <= entry.facts.configVersion) return;
    this.table.setVersion(entry, configVersion);
    this.noteVersion(nodeId, entry.facts.incarnation, configVersion);
  }

  /** Records a version that some node, perhaps this one, has in force. */
  noteVersion(nodeId: string, incarnation: number, configVersion: number): void {
    this.versionChanges += 1;
    this.markChanged();
    if (configVersion <= this.highestVersion) return;
    this.highestVersion = configVersion;
    this.queue.push({ type: 'version', nodeId, incarnation, configVersion });
  }

  /** Whether a member is known and has not failed, and so is probed and gossiped to. */
  isReachable(nodeId: string): boolean {
    const entry = this.table.find(nodeId);
    return entry !== undefined && stateOf(entry) !== 'failed';
  }

  private fitDatagram(update: MemberUpdate & { type: 'facts' }): MemberUpdate {
    if (measureUpdate(update) <= this.options.maxUpdateBytes) return update;
    const { nodeId, incarnation, sequence } = update.facts;
    return { type: 'notice', nodeId, incarnation, sequence };
  }
}
