/** Durations of the claim tasks, in milliseconds. Tests pass shorter ones. */

/** Intervals and limits of the claim tasks. */
export interface ClaimTiming {
  /** Longest wait for the replies of one round of a claim or charge. */
  readonly roundTimeoutMs: number;
  /** Longest wait for a claim, even when the request's deadline is later. */
  readonly claimWaitMs: number;
  /** Largest random pause before another round. */
  readonly retryJitterMs: number;
  /** Pause before the first retry of a release, finish or give-back; doubles each time. */
  readonly deliveryRetryMs: number;
  /** Interval of the group manager's steps. */
  readonly tickMs: number;
  /** Interval of requesting newer placement records from a random node. */
  readonly gossipMs: number;
  /** Interval of comparing the placement record with the platform's. */
  readonly platformMs: number;
  /** Longest wait for nodes of three zones before the first placement. */
  readonly bootstrapWaitMs: number;
  /** Time for which a change of members must have been wanted before it begins. */
  readonly changeDelayMs: number;
  /** Time after which another member takes over an unfinished change. */
  readonly takeOverMs: number;
  /** Time limit of one exchange of a change of epoch. */
  readonly changeTimeoutMs: number;
  /** Time limit of the transfer at a planned stop. */
  readonly drainMs: number;
}

/** Default timing of a node. */
export const DEFAULT_CLAIM_TIMING: ClaimTiming = {
  roundTimeoutMs: 1_000,
  claimWaitMs: 3_000,
  retryJitterMs: 20,
  deliveryRetryMs: 100,
  tickMs: 200,
  gossipMs: 1_000,
  platformMs: 5_000,
  bootstrapWaitMs: 1_500,
  changeDelayMs: 500,
  takeOverMs: 1_000,
  changeTimeoutMs: 1_000,
  drainMs: 5_000,
};
