/**
 * Seeds of long runs that failed once, newest first, with what was found. They are never changed;
 * `scripts/soak failed` runs all of them, and every check of a change the newest.
 */

/** What a long run is made from, beside its seed. */
export const LONG_RUN = { machines: 6, callersPerMachine: 4, lengthMs: 15_000 };

/** A seed and the cause of its failure. */
export interface FailedSeed {
  readonly seed: number;
  readonly cause: string;
}

/** See the module comment. */
export const FAILED_SEEDS: readonly FailedSeed[] = [
  {
    seed: 231,
    cause:
      'the relay let bytes pass those that it still delayed when its delay ended, so that requests ' +
      'behind one another reached the node in another order',
  },
  {
    seed: 73,
    cause:
      'the caller counted its own wait of 100 ms after the end of a connection as time that the ' +
      'node had held a request, and a node that had just started read requests late',
  },
  { seed: 12, cause: 'a target came back under the identity of the incarnation that had left' },
  { seed: 11, cause: 'a request to a dead node behind a relay was taken for one that was held' },
  {
    seed: 9,
    cause: 'SIGHUP before the first line of the program ran, and nobody started it again',
  },
  { seed: 6, cause: 'time on a delayed link counted as time that the node could know' },
  { seed: 5, cause: 'time on a delayed link counted as time that the node could know' },
  { seed: 1, cause: 'time on a delayed link counted as time that the node could know' },
];
