/** State shared by the parts of the membership protocol, and the actions they collect. */
import type { MemberFacts } from '../member.js';
import type { Random } from '../random.js';
import { GossipQueue } from './gossip-queue.js';
import { stateOf, MemberTable, type MemberEntry } from './member-table.js';
import {
  measureUpdate,
  type ClaimPosition,
  type MemberUpdate,
  type VersionUpdate,
} from './member-update.js';
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

type Header = 'from' | 'incarnation' | 'configVersion' | 'updates';

/** A datagram without its header. */
export type MessageContent =
  | Omit<PingMessage, Header>
  | Omit<AckMessage, Header>
  | Omit<PingRequestMessage, Header>
  | Omit<NackMessage, Header>
  | Omit<GossipMessage, Header>;

/** What the parts of the protocol work on. */
export class ProtocolState {
  readonly table: MemberTable;
  readonly queue = new GossipQueue();
  /** This node has announced its stop. */
  leaving = false;
  /** Lifeguard's local health score: 0 is healthy. */
  localHealth = 0;
  private highestVersion = 0;
  private actions: MembershipAction[] = [];
  private changed = false;

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

  /** Times that an update is sent. */
  get retransmitLimit(): number {
    return Math.ceil(this.options.retransmitMultiplier * Math.log10(this.fleetSize + 1));
  }

  emit(action: MembershipAction): void {
    this.actions.push(action);
  }

  emitEvent(event: MembershipEvent, nodeId: string): void {
    this.actions.push({ type: 'event', event, nodeId });
  }

  /** Notes that the view has changed. */
  markChanged(): void {
    this.changed = true;
  }

  /** Ends the handling of one input. */
  takeActions(): readonly MembershipAction[] {
    if (this.changed) this.actions.push({ type: 'changed' });
    this.changed = false;
    const taken = this.actions;
    this.actions = [];
    return taken;
  }

  /** Sends a datagram with as many waiting updates as fit after those of `first`. */
  send(to: string, content: MessageContent, first: readonly MemberUpdate[] = []): void {
    const { nodeId, incarnation, configVersion } = this.self;
    const updates = this.queue.select(this.options.maxUpdateBytes, this.retransmitLimit, first);
    const message = { ...content, from: nodeId, incarnation, configVersion, updates };
    this.emit({ type: 'send', to, message });
  }

  /** This node's facts as an update that fits a datagram. */
  describeSelf(): MemberUpdate {
    return this.fitDatagram({ type: 'facts', facts: this.self, leaving: this.leaving });
  }

  /** An entry's facts as an update that fits a datagram. */
  describeEntry({ facts, leaving }: MemberEntry): MemberUpdate {
    return this.fitDatagram({ type: 'facts', facts, leaving });
  }

  /** What this node holds against a member, for the member to refute. */
  describeClaim(nodeId: string, incarnation: number): MemberUpdate | undefined {
    const entry = this.table.find(nodeId);
    const claim = entry === undefined ? this.table.findTombstone(nodeId) : entry.claim;
    if (claim?.incarnation !== incarnation) return undefined;
    const position: ClaimPosition = { incarnation, sequence: claim.sequence };
    return entry?.failedAt === undefined && entry?.suspicion !== undefined
      ? { type: 'suspect', nodeId, ...position, from: this.self.nodeId }
      : { type: 'failed', nodeId, ...position };
  }

  /** Spreads a rules version; the first news of a new one goes ahead of everything else. */
  spreadVersion(update: VersionUpdate): void {
    const isNews = update.configVersion > this.highestVersion;
    if (isNews) this.highestVersion = update.configVersion;
    this.queue.pushVersion(update, isNews);
  }

  /** Whether an entry takes part in probing and gossip. */
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
