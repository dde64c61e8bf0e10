import { Result, Unit } from 'true-myth';
import { z } from 'zod';
import { validateValue } from '../config/validate-value.js';
import { createFailure, type Failure } from '../core/failure.js';
import { selectFrontingNode } from '../core/placement.js';
import { ResultCode } from '../core/result-code.js';
import type { Member } from '../membership/membership.js';
import type { AdminNode } from './admin-node.js';
import type { DrainTargetMessage } from './admin-messages.js';

/** Time limit for forwarding a command to another node. */
const FORWARD_TIMEOUT_MS = 2_000;

const drainTargetSchema = z.strictObject({
  target: z.string().min(1).max(63),
  drained: z.boolean(),
});
const emptySchema = z.strictObject({});

/** Runs operators' drain commands on this node or forwards them to the node that they concern. */
export class DrainCommands {
  constructor(private readonly node: AdminNode) {}

  /** Handles commands that other nodes forward. */
  registerHandlers(): void {
    this.node.peers?.handle(
      'drainTarget',
      (body) => validateValue(body, drainTargetSchema, ResultCode.FrameMalformed),
      (_from, message) => Promise.resolve(Result.ok({ applied: this.drainLocally(message) })),
    );
    this.node.peers?.handle(
      'drainNode',
      (body) => validateValue(body, emptySchema, ResultCode.FrameMalformed),
      () => {
        this.node.kernel.requestStop();
        return Promise.resolve(Result.ok({}));
      },
    );
  }

  /**
   * Starts or ends the drain of a target.
   *
   * Failures: `InvalidArgument` (no such target in the rules in force), `PeerUnreachable` (no node
   * that fronts the target accepted the command; it can be retried).
   */
  async drainTarget(message: DrainTargetMessage): Promise<Result<Unit, Failure>> {
    const located = this.node.configStore?.findTarget(message.target);
    if (located === undefined) {
      const detail = `no target ${message.target} in the rules in force at this node`;
      return Result.err(createFailure(ResultCode.InvalidArgument, detail));
    }
    const fronting = selectFrontingNode(located.target, this.node.membership?.members() ?? []);
    if (await this.drainOnNode(fronting, message)) return Result.ok(Unit);
    const detail = `no node that fronts target ${message.target} accepted the command`;
    return Result.err(createFailure(ResultCode.PeerUnreachable, detail));
  }

  /**
   * Starts the planned stop of a node.
   *
   * @param nodeId empty for this node
   * @returns the node's id, or `PeerUnreachable`, `PeerLost`, `PeerTimeout`
   */
  async drainNode(nodeId: string): Promise<Result<string, Failure>> {
    const self = this.node.settings.node.id;
    if (nodeId === '' || nodeId === self) {
      this.node.kernel.requestStop();
      return Result.ok(self);
    }
    const { membership, peers } = this.node;
    if (peers === undefined || membership?.find(nodeId) === undefined) {
      const detail = `this node sees no member ${nodeId}`;
      return Result.err(createFailure(ResultCode.PeerUnreachable, detail));
    }
    const reply = await peers.call(nodeId, 'drainNode', {}, { timeoutMs: FORWARD_TIMEOUT_MS });
    return reply.map(() => nodeId);
  }

  private drainLocally({ target, drained }: DrainTargetMessage): boolean {
    return this.node.targets?.drainTarget(target, drained) ?? false;
  }

  /** Runs the command on the node that fronts the target; false when it was not accepted. */
  private async drainOnNode(
    fronting: Member | undefined,
    message: DrainTargetMessage,
  ): Promise<boolean> {
    if (fronting === undefined) return false;
    if (fronting.nodeId === this.node.settings.node.id) return this.drainLocally(message);
    const reply = await this.node.peers?.call(fronting.nodeId, 'drainTarget', message, {
      timeoutMs: FORWARD_TIMEOUT_MS,
    });
    return reply?.map(({ applied }) => applied).unwrapOr(false) ?? false;
  }
}
