/** Samples the state of every service at the end of each window of the time series. */
import { type ServiceSample, WINDOW_MS } from './recorder.js';
import type { TargetSide } from './target-side.js';
import type { SimulationContext } from './simulation-context.js';

/** The parts of a run that sampling reads. */
type SampledRun = Pick<SimulationContext, 'queue' | 'deployment' | 'recorder'> & {
  readonly targetSide: (target: string) => TargetSide;
};

/** Samples are taken this long before the end of a window, so that they fall into it. */
const BEFORE_END_MS = 1;

/** Samples a run until `endMs`. */
export function startSampling(sampledRun: SampledRun, endMs: number): void {
  const { queue } = sampledRun;
  const sampleWindow = (end: number): void => {
    if (end > endMs) return;
    queue.scheduleAt(end - BEFORE_END_MS, () => {
      sampleServices(sampledRun);
      sampleWindow(end + WINDOW_MS);
    });
  };
  sampleWindow(WINDOW_MS);
}

function sampleServices({ deployment, recorder, targetSide }: SampledRun): void {
  for (const [index, service] of deployment.services.entries()) {
    const sides = service.targets.map(({ id }) => targetSide(id));
    recorder.sampleService(index, sampleOf(sides));
  }
}

function sampleOf(sides: readonly TargetSide[]): ServiceSample {
  const loads = sides.map((side) => side.load);
  return {
    queued: sum(loads.map(({ queued }) => queued)),
    queuedInTargets: sum(sides.map((side) => side.queuedInTarget)),
    inFlight: sum(sides.map((side) => side.backEnd.inFlight)),
    limit: sum(loads.map(({ limit }) => limit)),
    threshold: Math.max(...loads.map(({ threshold }) => threshold)),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
