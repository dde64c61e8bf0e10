/** One caller's request as the emulator tracks it, over all caller attempts and hops. */
import type { ResultCode } from '../core/result-code.js';
import type { CallerKind } from './deployment.js';

/** Possible ends of a caller's request; each request has exactly one end. */
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
  /** Attempts sent to back ends so far, over the whole chain and all caller attempts. */
  attempts: number;
  /** Attempts that the request may still cause, when its caller attempts share one budget. */
  attemptsLeft: number;
  /** By site index: 1 for a call site that was reached at least once. */
  readonly reachedSites: Uint8Array;
  /** Whether a caller attempt may have taken effect. */
  mayHaveRun: boolean;
  /** Slot time held so far: service index and milliseconds, alternating. */
  readonly slotUse: number[];
}

/** The end of a call at one hop. */
export interface CallEnd {
  readonly result: 'complete' | 'refused' | 'failed' | 'timeout';
  readonly code: ResultCode;
  readonly retryAfterMs: number | undefined;
  /** Whether a target may have run the request. */
  readonly mayHaveRun: boolean;
  readonly attemptsUsed: number;
}
