/** Messages that forward an operator's command to the node that carries it out. */

/** Starts or ends an operator's drain of a target that the receiving node fronts. */
export interface DrainTargetMessage {
  readonly target: string;
  readonly drained: boolean;
}

/** Whether the receiving node fronts the target and accepted the command. */
export interface DrainTargetReply {
  readonly applied: boolean;
}

/** Request and reply type of each administration call between nodes. */
export interface AdminCalls {
  drainTarget: { request: DrainTargetMessage; reply: DrainTargetReply };
  /** Starts the planned stop of the receiving node. */
  drainNode: { request: Record<string, never>; reply: Record<string, never> };
}
