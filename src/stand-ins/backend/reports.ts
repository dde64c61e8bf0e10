/** `/health` and `/load` of a back end, which may lag or mislead. */
import type { BackendFaults } from './backend-faults.js';

/** Load as `/load` tells it. */
export interface ReportedLoad {
  readonly inFlight: number;
  readonly slots: number;
}

/** Sources of the true values. */
export interface ReportSources {
  state(): string;
  load(): ReportedLoad;
}

/** What the back end tells. */
export interface Reports {
  state(): string;
  load(): ReportedLoad;
  stop(): void;
}

interface Sample {
  readonly at: number;
  readonly state: string;
  readonly load: ReportedLoad;
}

const SAMPLE_INTERVAL_MS = 100;
const KEPT_SAMPLES = 6_000;

/** Creates reports that follow the faults in force. */
export function createReports(faults: () => BackendFaults, sources: ReportSources): Reports {
  const samples: Sample[] = [];
  const sample = (): Sample => ({
    at: performance.now(),
    state: sources.state(),
    load: sources.load(),
  });
  const timer = setInterval(() => {
    samples.push(sample());
    if (samples.length > KEPT_SAMPLES) samples.shift();
  }, SAMPLE_INTERVAL_MS);
  timer.unref();
  const lagged = (): Sample => {
    const lag = faults().reportLagMs;
    if (lag === 0) return sample();
    const until = performance.now() - lag;
    return samples.findLast((candidate) => candidate.at <= until) ?? samples[0] ?? sample();
  };
  return {
    state: () => faults().healthOverride ?? lagged().state,
    load: () => {
      const load = lagged().load;
      return { ...load, inFlight: faults().loadOverride ?? load.inFlight };
    },
    stop: () => {
      clearInterval(timer);
    },
  };
}
