/** Answers the requests of other nodes to this node's replica; large tables go in pages. */
import { Result } from 'true-myth';
import type { TableSnapshot } from '../core/claim/claim-table.js';
import type { ReplicaReply, ReplicaRequest } from '../core/claim/replica-messages.js';
import type { Failure } from '../core/failure.js';
import type { Clock } from '../kernel/clock.js';
import type {
  PageReply,
  PageRequest,
  ReplicaAnswer,
  ReplicaCall,
  StageRequest,
} from './claim-messages.js';
import type { ReplicaTask } from './replica-task.js';
import { DEFAULT_PAGE_BYTES, joinTables, splitTable } from './table-pages.js';
import { TableTransfers } from './table-transfers.js';

/** Serves one replica. */
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

  /** A page of a table that did not fit into a reply; empty when it is not kept any more. */
  findPage({ transferId, page }: PageRequest): PageReply {
    const table = this.outgoing.find(transferId, page);
    return table === undefined ? {} : { table };
  }

  /** Keeps a page for the request that will need it. */
  keepPage({ transferId, page, table }: StageRequest): void {
    this.incoming.put(transferId, page, table);
  }

  /** Answers one request to the replica. */
  async answer(call: ReplicaCall): Promise<Result<ReplicaAnswer, Failure>> {
    const request = this.completeRequest(call);
    if (request === undefined) return Result.ok({ reply: { type: 'not-voting' } });
    const reply = await this.local.request(request);
    return reply.map((value) => this.pageReply(value));
  }

  /** Adds the pages that were brought before; `undefined` when some are missing. */
  private completeRequest({ request, staged }: ReplicaCall): ReplicaRequest | undefined {
    if (request.type !== 'install' || staged === undefined) return request;
    const pages = this.incoming.take(staged);
    return pages && { ...request, table: joinTables([...pages, request.table]) };
  }

  /** The first page of what a replica remembers; the others wait to be fetched. */
  private pageReply(reply: ReplicaReply): ReplicaAnswer {
    if (reply.type !== 'promised' && reply.type !== 'recovered') return { reply };
    const pages = splitTable(reply.memory.table, this.pageBytes);
    if (pages.length === 1) return { reply };
    const rest = { transferId: this.keep(pages), pages: pages.length };
    const memory = { ...reply.memory, table: pages[0]! };
    return { reply: { ...reply, memory }, rest };
  }

  /** Tables are copies whose entries never change, so that all pages show one moment. */
  private keep(pages: readonly TableSnapshot[]): string {
    this.transfers += 1;
    const { nodeId, incarnation } = this.local.view.self;
    const transferId = `${nodeId}#${incarnation}/${this.group}.${this.transfers}`;
    pages.forEach((page, index) => {
      this.outgoing.put(transferId, index, page);
    });
    return transferId;
  }
}
