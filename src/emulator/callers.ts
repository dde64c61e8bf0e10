/**
 * Model of the callers: open-loop Poisson arrivals by kind, timeouts, and retries that may or
 * may not honour a retry time.
 */
import type { Random } from '../core/random.js';
import { CallerRequest } from './caller-request.js';
import type { CallersOptions } from './callers-options.js';
import { createRequestRecord } from './recorder.js';
import { createStream, sampleExponential } from './sampling.js';
import type { SimulationContext } from './simulation-context.js';

/** All callers of a run. */
export class Callers {
  private sent = 0;
  private readonly choices: Random;

  constructor(
    private readonly simulation: SimulationContext,
    private readonly options: CallersOptions,
  ) {
    this.choices = createStream(options.seed, 'callers');
  }

  /** Schedules the first arrival of each kind. */
  start(): void {
    for (const kindIndex of this.simulation.deployment.kinds.keys()) {
      const random = createStream(this.options.seed, `arrivals ${kindIndex}`);
      this.scheduleArrival(kindIndex, random);
    }
  }

  /**
   * Poisson process with a variable rate, by thinning one with the peak rate (Lewis and Shedler).
   */
  private scheduleArrival(kindIndex: number, random: Random): void {
    const peak = this.options.peakRateOf(kindIndex);
    if (peak <= 0) return;
    const { queue } = this.simulation;
    queue.schedule(sampleExponential(random, 1_000 / peak), () => {
      if (queue.now() >= this.options.endMs) return;
      const accepted = random.next() * peak < this.options.rateOf(kindIndex, queue.now());
      if (accepted) this.sendRequest(kindIndex);
      this.scheduleArrival(kindIndex, random);
    });
  }

  private sendRequest(kindIndex: number): void {
    const kind = this.simulation.deployment.kinds[kindIndex]!;
    this.sent += 1;
    const record = createRequestRecord(
      `r${this.sent}`,
      kind,
      kindIndex,
      this.simulation.queue.now(),
    );
    this.simulation.recorder.onSent(record);
    const zoneIndex = this.choices.nextInt(this.simulation.deployment.zones.length);
    new CallerRequest(
      this.simulation,
      this.options,
      record,
      zoneIndex,
      this.choices.next(),
    ).startAttempt();
  }
}
