/** Open-loop arrivals: requests are sent at their planned times, regardless of the answers. */
import type { Random } from '../../core/random.js';

/** Sends requests at their planned times until the end or until stopped. */
export interface ArrivalProcess {
  /** Changes the rate from now on. */
  setFactor(factor: number): void;
  /** Resolves when the last request has been sent. */
  readonly done: Promise<void>;
  stop(): void;
}

/** Requests planned within this time from now are sent at once, without a timer. */
const MAX_EARLY_SEND_MS = 0.2;

/**
 * Starts Poisson arrivals.
 *
 * @param ratePerSecond mean rate at factor 1
 * @param send receives the planned time (`performance.now()`); must not throw
 */
export function startArrivals(
  random: Random,
  ratePerSecond: number,
  durationMs: number,
  send: (plannedAt: number) => void,
): ArrivalProcess {
  const endAt = performance.now() + durationMs;
  let factor = 1;
  let timer: NodeJS.Timeout | undefined;
  let resolveDone: () => void = () => undefined;
  const done = new Promise<void>((resolve) => {
    resolveDone = resolve;
  });
  const gap = (): number => {
    const rate = ratePerSecond * factor;
    return rate <= 0 ? RATE_CHECK_INTERVAL_MS : (-Math.log(1 - random.next()) * 1000) / rate;
  };
  let planned = performance.now() + gap();
  const step = (): void => {
    while (planned <= performance.now() + MAX_EARLY_SEND_MS) {
      if (planned > endAt) break;
      if (ratePerSecond * factor > 0) send(planned);
      planned += gap();
    }
    if (planned > endAt) {
      resolveDone();
      return;
    }
    timer = setTimeout(step, Math.max(0, Math.floor(planned - performance.now())));
  };
  step();
  return {
    setFactor: (next) => {
      factor = next;
    },
    done,
    stop: () => {
      clearTimeout(timer);
      resolveDone();
    },
  };
}

/** Interval at which a stream with rate 0 checks its rate again. */
const RATE_CHECK_INTERVAL_MS = 50;
