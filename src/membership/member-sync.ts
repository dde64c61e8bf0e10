/** State exchanges and fetches with peers over their links. */
import type { MemberUpdate } from '../core/membership/member-update.js';
import type { MemberSyncRequest } from '../core/membership/membership-message.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import { validateFetchReply, validateSyncReply } from './membership-calls.js';

const SYNC_TIMEOUT_MS = 3_000;
/** Exchanges that run at once; further ones are left out, a later one makes up for them. */
const MAX_EXCHANGES = 2;
/** Pages of one exchange; a guard against a peer that never ends. */
const MAX_PAGES = 200;

/** What an exchange needs of the membership state. */
export interface SyncState {
  createSyncRequest(): MemberSyncRequest;
  createHandOvers(buckets: readonly number[]): readonly MemberSyncRequest[];
  /** Takes updates in. */
  merge(nodeId: string, updates: readonly MemberUpdate[]): void;
}

/** Runs exchanges that this node starts. */
export class MemberSync {
  private readonly running = new Set<string>();

  constructor(
    private readonly network: PeerNetwork,
    private readonly state: SyncState,
  ) {}

  /** Compares views with a node, takes its differing members and hands over the own ones. */
  exchange(nodeId: string): void {
    this.runOnce(`sync ${nodeId}`, async () => {
      const request = this.state.createSyncRequest();
      let handOvers: readonly MemberSyncRequest[] | undefined;
      let after = '';
      for (let page = 0; page < MAX_PAGES; page += 1) {
        const reply = await this.sync(nodeId, { ...request, after });
        if (reply === undefined) return;
        // What this node knew before it took anything in.
        handOvers ??= this.state.createHandOvers(reply.buckets);
        this.state.merge(nodeId, reply.updates);
        after = reply.next;
        if (after === '') break;
      }
      for (const handOver of handOvers ?? []) await this.sync(nodeId, handOver);
    });
  }

  /** Gets the facts of some members from a node that has them. */
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
    if (this.running.has(name) || this.running.size >= MAX_EXCHANGES) return;
    this.running.add(name);
    void run().finally(() => this.running.delete(name));
  }
}
