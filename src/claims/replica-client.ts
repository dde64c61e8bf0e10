/** Requests to replicas by node id; the local replica is reached without the network. */
import type { PlacementRecord } from '../core/claim/placement.js';
import type { ReplicaReply, ReplicaRequest } from '../core/claim/replica-messages.js';
import type { PeerNetwork } from '../peer/peer-network.js';
import { validateReplicaRequest } from './claim-messages.js';
import type { ReplicaTask } from './replica-task.js';

/** Sends requests to the replica of any node. */
export class ReplicaClient {
  constructor(
    private readonly network: PeerNetwork,
    private readonly local: ReplicaTask,
  ) {
    network.handle('claimReplica', validateReplicaRequest, (_from, request) =>
      local.request(request),
    );
  }

  /** Asks one replica; `undefined` when it cannot be reached or does not answer in time. */
  async ask(
    nodeId: string,
    request: ReplicaRequest,
    timeoutMs: number,
  ): Promise<ReplicaReply | undefined> {
    const result =
      nodeId === this.local.view.self.nodeId
        ? await this.local.request(request)
        : await this.network.call(nodeId, 'claimReplica', request, { timeoutMs });
    return result.isOk ? result.value : undefined;
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
}
