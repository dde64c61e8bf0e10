/** Timing and limits of the membership protocol. */

/** Options; see {@link DEFAULT_MEMBERSHIP_OPTIONS}. Times in milliseconds. */
export interface MembershipOptions {
  /** Interval between probes, each of one member. */
  readonly probeIntervalMs: number;
  /** Wait for the direct answer before other members are requested to ping. */
  readonly probeTimeoutMs: number;
  /** Members requested to ping on this node's behalf. */
  readonly indirectProbes: number;
  /** Shortest suspicion: this times log10 of the fleet's size (1 at least) probe intervals. */
  readonly suspicionMultiplier: number;
  /** Longest suspicion, as a multiple of the shortest. */
  readonly suspicionMaxFactor: number;
  /** Independent suspicions that bring the wait down to the shortest. */
  readonly suspicionConfirmations: number;
  /** Highest local health score; probe times grow by 1 plus the score (Lifeguard). */
  readonly maxLocalHealth: number;
  /** Interval between gossip rounds while updates wait. */
  readonly gossipIntervalMs: number;
  /** Members that one gossip round goes to. */
  readonly gossipFanOut: number;
  /** Bytes per second that gossip rounds may send on average, and in one burst after idle time. */
  readonly gossipBytesPerSecond: number;
  /** An update is sent this times log10 of the fleet's size + 1 times, rounded up. */
  readonly retransmitMultiplier: number;
  /** Average interval between state exchanges. */
  readonly syncIntervalMs: number;
  /** Interval between pings of addresses that may answer again (seeds, failed members). */
  readonly rejoinIntervalMs: number;
  /** Time for which a failed member is pinged again and kept in the table. */
  readonly evictFailedMs: number;
  /** Time for which a failed member that had announced its stop is kept in the table. */
  readonly evictLeftMs: number;
  /** Time for which an evicted member's last position is kept. */
  readonly tombstoneMs: number;
  readonly maxTombstones: number;
  /** Maximum size of the updates in one datagram, in bytes. */
  readonly maxUpdateBytes: number;
  /** A timer that fires later than this means that the process was paused. */
  readonly pauseThresholdMs: number;
}

/** Defaults for a fleet of 3 to 1,000 nodes with up to 100 ms between regions. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  probeIntervalMs: 1_000,
  probeTimeoutMs: 350,
  indirectProbes: 3,
  suspicionMultiplier: 3,
  suspicionMaxFactor: 4,
  suspicionConfirmations: 3,
  maxLocalHealth: 8,
  gossipIntervalMs: 200,
  gossipFanOut: 3,
  gossipBytesPerSecond: 6_000,
  retransmitMultiplier: 4,
  syncIntervalMs: 30_000,
  rejoinIntervalMs: 10_000,
  evictFailedMs: 2 * 3_600_000,
  evictLeftMs: 60_000,
  tombstoneMs: 24 * 3_600_000,
  maxTombstones: 8_192,
  maxUpdateBytes: 1_050,
  pauseThresholdMs: 1_000,
};
