/** Reports of a back end at `/health` and `/load`; faults make them late or wrong. */
import type { BackendFaults } from './backend-faults.js';

/** Load as `/load` reports it. */
export interface ReportedLoad {
  readonly inFlight: number;
  readonly slots: number;
}

/** Sources of the actual values. */
export interface ReportSources {
  state(): string;
  load(): ReportedLoad;
}

/** Values that the back end reports. */
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
const MAX_SAMPLES = 6_000;

/** Creates reports to which the faults in force are applied. */
export function createReports(faults: () => BackendFaults, sources: ReportSources): Reports {
  const samples: Sample[] = [];
  const sample = (): Sample => ({
    at: performance.now(),
    state: sources.state(),
    load: sources.load(),
  });
  const timer = setInterval(() => {
    samples.push(sample());
    if (samples.length > MAX_SAMPLES) samples.shift();
  }, SAMPLE_INTERVAL_MS);
  timer.unref();
  const lagged = (): Sample => {
    const lag = faults().reportLagMs;
    if (lag === 0) return sample();
    const latest = performance.now() - lag;
    return samples.findLast((candidate) => candidate.at <= latest) ?? samples[0] ?? sample();
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
