/** One caller's request as the emulator follows it, over all its tries and hops. */
import type { ResultCode } from '../core/result-code.js';
import type { CallerKind } from './deployment.js';

/** How a caller's request ended; each has exactly one end. */
export const REQUEST_ENDS = ['complete', 'refused', 'failed', 'timeout'] as const;

/** One of {@link REQUEST_ENDS}; `complete` means answered within the deadline. */
export type RequestEnd = (typeof REQUEST_ENDS)[number];

/** A caller's request. */
export interface RequestRecord {
  readonly id: string;
  readonly kind: CallerKind;
  readonly kindIndex: number;
  readonly sentAt: number;
  end: RequestEnd | undefined;
  /** Dispatches to back ends so far, over the whole chain and all tries. */
  attempts: number;
  /** Attempts that the request may still cause, when tries share one budget. */
  attemptsLeft: number;
  /** 1 for each call site that was reached at least once. */
  readonly reachedSites: Uint8Array;
  /** Whether a try may have taken effect. */
  mayHaveRun: boolean;
  /** Slot time held so far, by service index; alternating index and milliseconds. */
  readonly slotUse: number[];
}

/** The end of a call at one hop. */
export interface CallEnd {
  readonly result: 'complete' | 'refused' | 'failed' | 'timeout';
  readonly code: ResultCode;
  readonly retryAfterMs: number | undefined;
  /** Whether something below may have taken effect. */
  readonly mayHaveRun: boolean;
  readonly attemptsUsed: number;
}
