/** Rates at which callers send requests, by kind and time. */
import type { Deployment } from './deployment.js';
import type { Scenario } from './scenario.js';
import { capacityRates } from './capacity-bound.js';

/** Load over the run. */
export interface LoadProfile {
  /** Requests per second of a kind at a time. */
  rateOf(kindIndex: number, now: number): number;
  /** Highest rate of a kind. */
  peakRateOf(kindIndex: number): number;
}

/** Load of a scenario: multiples of the capacity, or rates by kind with surges as factors. */
export function createLoadProfile(load: Scenario['load'], deployment: Deployment): LoadProfile {
  const { ratesPerSecond } = load;
  const unitRates =
    ratesPerSecond === undefined
      ? capacityRates(deployment)
      : deployment.kinds.map(({ name }) => ratesPerSecond[name] ?? 0);
  const base = ratesPerSecond === undefined ? load.multiple : 1;
  const multipleAt = (now: number) =>
    load.surges.find(({ fromMs, toMs }) => now >= fromMs && now < toMs)?.multiple ?? base;
  const peak = Math.max(base, ...load.surges.map(({ multiple }) => multiple));
  return {
    rateOf: (kindIndex, now) => unitRates[kindIndex]! * multipleAt(now),
    peakRateOf: (kindIndex) => unitRates[kindIndex]! * peak,
  };
}
