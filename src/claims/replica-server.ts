/** Handles other nodes' requests to this node's replica; large tables are sent in pages. */
import { Result } from 'true-myth';
import type { TableSnapshot } from '../core/claim/claim-table.js';
import type { ReplicaReply, ReplicaRequest } from '../core/claim/replica-messages.js';
import type { Failure } from '../core/failure.js';
import type { Clock } from '../kernel/clock.js';
import type {
  PageReply,
  PageRequest,
  ReplicaCallReply,
  ReplicaCall,
  StageRequest,
} from './claim-messages.js';
import type { ReplicaTask } from './replica-task.js';
import { DEFAULT_PAGE_BYTES, joinTables, splitTable } from './table-pages.js';
import { TableTransfers } from './table-transfers.js';

/** Serves the local replica of one group. */
export class ReplicaServer {
  private readonly outgoing: TableTransfers;
  private readonly incoming: TableTransfers;
  private transfers = 0;

  constructor(
    private readonly local: ReplicaTask,
    clock: Clock,
    private readonly group: number,
    private readonly pageBytes = DEFAULT_PAGE_BYTES,
  ) {
    this.outgoing = new TableTransfers(clock);
    this.incoming = new TableTransfers(clock);
  }

  /** Finds a page of a table that did not fit into a reply; empty when it is no longer kept. */
  findPage({ transferId, page }: PageRequest): PageReply {
    const table = this.outgoing.find(transferId, page);
    return table === undefined ? {} : { table };
  }

  /** Stores a page for the request that will need it. */
  storePage({ transferId, page, table }: StageRequest): void {
    this.incoming.put(transferId, page, table);
  }

  /** Handles one request to the replica. */
  async answer(call: ReplicaCall): Promise<Result<ReplicaCallReply, Failure>> {
    const request = this.completeRequest(call);
    if (request === undefined) return Result.ok({ reply: { type: 'not-voting' } });
    const reply = await this.local.request(request);
    return reply.map((value) => this.splitReply(value));
  }

  /** Adds the pages that were sent before the request; `undefined` when some are missing. */
  private completeRequest({ request, staged }: ReplicaCall): ReplicaRequest | undefined {
    if (request.type !== 'install' || staged === undefined) return request;
    const pages = this.incoming.take(staged);
    return pages && { ...request, table: joinTables([...pages, request.table]) };
  }

  /** Reduces a large table to its first page; stores all pages until the others are fetched. */
  private splitReply(reply: ReplicaReply): ReplicaCallReply {
    if (reply.type !== 'promised' && reply.type !== 'recovered') return { reply };
    const pages = splitTable(reply.memory.table, this.pageBytes);
    if (pages.length === 1) return { reply };
    const rest = { transferId: this.storePages(pages), pages: pages.length };
    const memory = { ...reply.memory, table: pages[0]! };
    return { reply: { ...reply, memory }, rest };
  }

  /**
   * Keeps the pages of a table. Tables are copies whose entries never change, so all pages show the
   * same state.
   */
  private storePages(pages: readonly TableSnapshot[]): string {
    this.transfers += 1;
    const { nodeId, incarnation } = this.local.view.self;
    const transferId = `${nodeId}#${incarnation}/${this.group}.${this.transfers}`;
    pages.forEach((page, index) => {
      this.outgoing.put(transferId, index, page);
    });
    return transferId;
  }
}
