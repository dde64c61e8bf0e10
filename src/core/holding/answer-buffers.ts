/** Buffers for answers of servers, in the same account as the bodies of requests. */
import type { UnfinishedBodies } from './unfinished-bodies.js';

/** The buffers of one answer. */
export interface AnswerBuffers {
  /** Extends them to `totalBytes`; returns false when there is no room and no larger body can yield. */
  cover(totalBytes: number): boolean;
  /** Releases them; further calls have no effect. */
  release(): void;
}

/** Opens the buffers of one answer; `onYield` is called if it must make room for a smaller body. */
export type OpenAnswerBuffers = (onYield: () => void) => AnswerBuffers;

/** Buffers of answers of targets: when the account is spent, the largest unfinished body yields. */
export function yieldingBuffers(bodies: UnfinishedBodies): OpenAnswerBuffers {
  return (onYield) => {
    const reservation = bodies.reserve();
    const body = bodies.open(reservation, Infinity, onYield);
    return {
      cover: (totalBytes) => body.cover(totalBytes),
      release: () => {
        body.finish();
        reservation.release();
      },
    };
  };
}

/**
 * Buffers of answers that requests must not displace, such as those of the store. They count in the account, so that
 * requests get less, but they do not yield; the number of their calls bounds them.
 */
export function precedingBuffers(bodies: UnfinishedBodies): OpenAnswerBuffers {
  return () => {
    const reservation = bodies.reserve();
    return {
      cover: (totalBytes) => {
        reservation.extend(totalBytes);
        return true;
      },
      release: () => {
        reservation.release();
      },
    };
  };
}
