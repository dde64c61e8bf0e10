/** Open-loop arrivals: requests leave at their planned times whatever the answers do. */
import type { Random } from '../../core/random.js';

/** Sends planned arrivals on time until stopped. */
export interface ArrivalProcess {
  /** Changes the rate from now on. */
  setFactor(factor: number): void;
  /** Settles when the last arrival has been sent. */
  readonly done: Promise<void>;
  stop(): void;
}

/** Arrivals planned within this time of now are waited for without a timer. */
const SPIN_MS = 0.2;

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
    return rate <= 0 ? IDLE_CHECK_MS : (-Math.log(1 - random.next()) * 1000) / rate;
  };
  let planned = performance.now() + gap();
  const step = (): void => {
    while (planned <= performance.now() + SPIN_MS) {
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

/** A stream without requests looks at its rate this often. */
const IDLE_CHECK_MS = 50;
