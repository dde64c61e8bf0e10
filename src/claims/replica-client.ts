/** Requests to replicas by node id; the local replica is reached without the network. */
import type { PlacementRecord } from '../core/claim/placement.js';
import type {
  InstallMessage,
  ReplicaReply,
  ReplicaRequest,
} from '../core/claim/replica-messages.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import type { ReplicaCallReply, ReplicaCall } from './claim-messages.js';
import type { ReplicaTask } from './replica-task.js';
import { DEFAULT_PAGE_BYTES, joinTables, splitTable } from './table-pages.js';

/** Maximum number of pages of one table that are in transit at once. */
const MAX_CONCURRENT_PAGES = 4;

/**
 * Handles the pages from `first` up to, not including, `end`, several at once.
 *
 * @returns whether all of them succeeded; after a failure no further one is started
 */
async function forEachPage(
  first: number,
  end: number,
  handle: (page: number) => Promise<boolean>,
): Promise<boolean> {
  let next = first;
  let succeeds = true;
  const worker = async (): Promise<void> => {
    while (succeeds && next < end) {
      const page = next;
      next += 1;
      if (!(await handle(page))) succeeds = false;
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_PAGES }, worker));
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
   * Queries one replica; `undefined` when it cannot be reached or does not reply in time.
   *
   * @param timeoutMs time limit of each exchange; a large table takes one exchange per page
   */
  async query(
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
   * Queries all members of a record and passes each reply to `onReply` as it arrives.
   *
   * @returns resolves when every member has replied or timed out
   */
  async queryAll(
    record: PlacementRecord,
    request: ReplicaRequest,
    timeoutMs: number,
    onReply: (nodeId: string, reply: ReplicaReply | undefined) => void,
  ): Promise<void> {
    const requests = record.members.map(async ({ nodeId }) => {
      onReply(nodeId, await this.query(nodeId, request, timeoutMs));
    });
    await Promise.all(requests);
  }

  /** Sends all pages of a large table except the last one, before the request itself. */
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

  /** Fetches the pages that did not fit into the reply; `undefined` unless all are received. */
  private async completeReply(
    nodeId: string,
    { reply, rest }: ReplicaCallReply,
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
