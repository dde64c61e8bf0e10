/** State exchanges and fetches with peers over their links. */
import type { MemberUpdate } from '../core/membership/member-update.js';
import type { MemberSyncRequest } from '../core/membership/membership-message.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import { validateFetchReply, validateSyncReply } from './membership-calls.js';

const SYNC_TIMEOUT_MS = 3_000;
/** Maximum number of exchanges and fetches at once; later ones make up for those skipped. */
const MAX_CONCURRENT_EXCHANGES = 2;
/** Maximum number of pages of one exchange, in case a peer never sends a last page. */
const MAX_PAGES = 200;

/** The membership state that exchanges read and update. */
export interface SyncState {
  createSyncRequest(): MemberSyncRequest;
  createTransferRequests(buckets: readonly number[]): readonly MemberSyncRequest[];
  /** Merges updates that a node has sent. */
  merge(nodeId: string, updates: readonly MemberUpdate[]): void;
}

/** Runs the exchanges and fetches that this node starts. */
export class MemberSync {
  private readonly running = new Set<string>();

  constructor(
    private readonly network: PeerNetwork,
    private readonly state: SyncState,
  ) {}

  /** Compares views with a node, merges its differing members and sends this node's. */
  exchange(nodeId: string): void {
    this.runOnce(`sync ${nodeId}`, async () => {
      const request = this.state.createSyncRequest();
      let transferRequests: readonly MemberSyncRequest[] | undefined;
      let after = '';
      for (let page = 0; page < MAX_PAGES; page += 1) {
        const reply = await this.sync(nodeId, { ...request, after });
        if (reply === undefined) return;
        // Created before the first merge, so that they hold only what this node already knew.
        transferRequests ??= this.state.createTransferRequests(reply.buckets);
        this.state.merge(nodeId, reply.updates);
        after = reply.next;
        if (after === '') break;
      }
      for (const transferRequest of transferRequests ?? [])
        await this.sync(nodeId, transferRequest);
    });
  }

  /** Fetches the facts of members from a node that has them. */
  fetch(source: string, nodeIds: readonly string[]): void {
    this.runOnce(`fetch ${source}`, async () => {
      const options = { timeoutMs: SYNC_TIMEOUT_MS };
      const result = await this.network.call(source, 'memberFetch', { nodeIds }, options);
      const reply = result.andThen(validateFetchReply);
      if (reply.isOk) this.state.merge(source, reply.value.updates);
    });
  }

  private async sync(nodeId: string, request: MemberSyncRequest) {
    const options = { timeoutMs: SYNC_TIMEOUT_MS };
    const result = await this.network.call(nodeId, 'memberSync', request, options);
    return result.andThen(validateSyncReply).unwrapOr(undefined);
  }

  private runOnce(name: string, run: () => Promise<void>): void {
    if (this.running.has(name) || this.running.size >= MAX_CONCURRENT_EXCHANGES) return;
    this.running.add(name);
    void run().finally(() => this.running.delete(name));
  }
}
