/** Requests to replicas by node id; the local replica is reached without the network. */
import type { PlacementRecord } from '../core/claim/placement.js';
import type {
  InstallMessage,
  ReplicaReply,
  ReplicaRequest,
} from '../core/claim/replica-messages.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { ReplicaAnswer, ReplicaCall } from './claim-messages.js';
import type { ReplicaTask } from './replica-task.js';
import { DEFAULT_PAGE_BYTES, joinTables, splitTable } from './table-pages.js';

/** Pages under way at once between two nodes. */
const PAGES_AT_ONCE = 4;

/**
 * Handles the pages from `first` up to, not including, `end`, several at once.
 *
 * @returns whether all of them succeeded; after a failure no further one is begun
 */
async function forEachPage(
  first: number,
  end: number,
  handle: (page: number) => Promise<boolean>,
): Promise<boolean> {
  let next = first;
  let succeeds = true;
  const work = async (): Promise<void> => {
    while (succeeds && next < end) {
      const page = next;
      next += 1;
      if (!(await handle(page))) succeeds = false;
    }
  };
  await Promise.all(Array.from({ length: PAGES_AT_ONCE }, work));
  return succeeds;
}

/** Sends requests to one group's replica at any node. */
export class ReplicaClient {
  private transfers = 0;

  constructor(
    private readonly network: PeerNetwork,
    private readonly local: ReplicaTask,
    private readonly group: number,
    private readonly pageBytes = DEFAULT_PAGE_BYTES,
  ) {}

  /**
   * Asks one replica; `undefined` when it cannot be reached or does not answer in time.
   *
   * @param timeoutMs limit of each exchange; a large table takes one for each of its pages
   */
  async ask(
    nodeId: string,
    request: ReplicaRequest,
    timeoutMs: number,
  ): Promise<ReplicaReply | undefined> {
    if (nodeId === this.local.view.self.nodeId) {
      const result = await this.local.request(request);
      return result.isOk ? result.value : undefined;
    }
    const call = await this.stage(nodeId, request, timeoutMs);
    if (call === undefined) return undefined;
    const result = await this.network.call(nodeId, 'claimReplica', call, { timeoutMs });
    return result.isOk ? this.completeReply(nodeId, result.value, timeoutMs) : undefined;
  }

  /**
   * Asks all members of a record and hands each reply on as it comes.
   *
   * @returns resolves when every member has answered or timed out
   */
  async askAll(
    record: PlacementRecord,
    request: ReplicaRequest,
    timeoutMs: number,
    onReply: (nodeId: string, reply: ReplicaReply | undefined) => void,
  ): Promise<void> {
    const asks = record.members.map(async ({ nodeId }) => {
      onReply(nodeId, await this.ask(nodeId, request, timeoutMs));
    });
    await Promise.all(asks);
  }

  /** Sends all pages of a large table but the last one ahead. */
  private async stage(
    nodeId: string,
    request: ReplicaRequest,
    timeoutMs: number,
  ): Promise<ReplicaCall | undefined> {
    const { group } = this;
    if (request.type !== 'install') return { group, request };
    const pages = splitTable(request.table, this.pageBytes);
    if (pages.length === 1) return { group, request };
    const last = pages.length - 1;
    const transferId = this.createTransferId();
    const isStaged = await forEachPage(0, last, async (page) => {
      const body = { group, transferId, page, table: pages[page]! };
      const result = await this.network.call(nodeId, 'claimStage', body, { timeoutMs });
      return result.isOk;
    });
    if (!isStaged) return undefined;
    const install: InstallMessage = { ...request, table: pages[last]! };
    return { group, request: install, staged: { transferId, pages: last } };
  }

  private createTransferId(): string {
    this.transfers += 1;
    const { nodeId, incarnation } = this.local.view.self;
    return `${nodeId}#${incarnation}/${this.group}.${this.transfers}`;
  }

  /** Fetches the pages of a table that did not fit; without all of them the reply does not count. */
  private async completeReply(
    nodeId: string,
    { reply, rest }: ReplicaAnswer,
    timeoutMs: number,
  ): Promise<ReplicaReply | undefined> {
    if (rest === undefined || (reply.type !== 'promised' && reply.type !== 'recovered')) {
      return reply;
    }
    const pages = [reply.memory.table];
    const { transferId } = rest;
    const isComplete = await forEachPage(1, rest.pages, async (page) => {
      const body = { group: this.group, transferId, page };
      const result = await this.network.call(nodeId, 'claimPage', body, { timeoutMs });
      if (result.isErr || result.value.table === undefined) return false;
      pages[page] = result.value.table;
      return true;
    });
    if (!isComplete) return undefined;
    return { ...reply, memory: { ...reply.memory, table: joinTables(pages) } };
  }
}
