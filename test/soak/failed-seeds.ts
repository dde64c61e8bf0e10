/**
 * Seeds of long runs that have failed, newest first, with the cause. They are never changed;
 * `scripts/soak failed` runs all of them, and the tests run the newest two.
 */

import type { SoakOptions } from './soak-run.js';

/** Options of a long run, except its seed. */
export const LONG_RUN = { machines: 6, callersPerMachine: 4, lengthMs: 15_000 };

/** What runs with silences of open connections have in addition to a long run. */
export const SILENCE_RUN = { silences: true, lengthMs: 30_000 };

/** A seed and the cause of its failure. */
export interface FailedSeed {
  readonly seed: number;
  /** Options that differ from those of a long run. */
  readonly options?: Partial<SoakOptions>;
  readonly cause: string;
}

export const FAILED_SEEDS: readonly FailedSeed[] = [
  {
    seed: 4_034,
    options: SILENCE_RUN,
    cause:
      'the process that runs the relays stood still for half a second, which was counted as time that ' +
      'the node could know of',
  },
  {
    seed: 231,
    cause:
      'when its delay ended, the relay sent new bytes ahead of those that it still delayed, so that ' +
      'pipelined requests reached the node in another order',
  },
  {
    seed: 73,
    cause:
      'the caller counted its own wait of 100 ms after a connection closed as time that the node ' +
      'had held a request, and a node that had just started read requests late',
  },
  { seed: 12, cause: 'a target restarted with the id of the incarnation that had left' },
  { seed: 11, cause: 'a request to a crashed node behind a relay was counted as read by the node' },
  {
    seed: 9,
    cause: 'SIGHUP ended the program before its first line ran, and nothing restarted it',
  },
  { seed: 6, cause: 'time on a delayed link was counted as time that the node could know of' },
  { seed: 5, cause: 'time on a delayed link was counted as time that the node could know of' },
  { seed: 1, cause: 'time on a delayed link was counted as time that the node could know of' },
];
