/** Tables transferred in pages: those that other nodes fetch here, and those that they send. */
import type { TableSnapshot } from '../core/claim/claim-table.js';
import type { Clock } from '../kernel/clock.js';

/** Maximum number of transfers kept in each direction; the oldest are dropped first. */
const MAX_TRANSFERS = 8;

/** Time for which a transfer is kept, in milliseconds. */
const TRANSFER_RETENTION_MS = 30_000;

interface Transfer {
  readonly pages: Map<number, TableSnapshot>;
  readonly startedAt: number;
}

/** Identifies a table whose pages are fetched or were sent one by one. */
export interface TransferRef {
  readonly transferId: string;
  /** Number of pages; they are numbered from 0. */
  readonly pages: number;
}

/** The transfers of one direction at one node. */
export class TableTransfers {
  private readonly transfers = new Map<string, Transfer>();

  constructor(private readonly clock: Clock) {}

  /** Number of transfers kept. */
  get size(): number {
    return this.transfers.size;
  }

  /** Stores a page. */
  put(transferId: string, page: number, table: TableSnapshot): void {
    this.discardExpired();
    const known = this.transfers.get(transferId);
    const transfer = known ?? { pages: new Map(), startedAt: this.clock.now() };
    transfer.pages.set(page, table);
    this.transfers.set(transferId, transfer);
    const [oldest] = this.transfers.keys();
    if (this.transfers.size > MAX_TRANSFERS && oldest !== undefined) this.transfers.delete(oldest);
  }

  /** Finds a page. */
  find(transferId: string, page: number): TableSnapshot | undefined {
    return this.transfers.get(transferId)?.pages.get(page);
  }

  /** Removes a transfer and returns its pages in order; `undefined` unless all are present. */
  take({ transferId, pages }: TransferRef): readonly TableSnapshot[] | undefined {
    const transfer = this.transfers.get(transferId);
    this.transfers.delete(transferId);
    if (transfer === undefined) return undefined;
    const found = Array.from({ length: pages }, (_, page) => transfer.pages.get(page));
    return found.every((table) => table !== undefined) ? found : undefined;
  }

  private discardExpired(): void {
    const limit = this.clock.now() - TRANSFER_RETENTION_MS;
    for (const [transferId, { startedAt }] of this.transfers) {
      if (startedAt <= limit) this.transfers.delete(transferId);
    }
  }
}
