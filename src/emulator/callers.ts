/**
 * Model of the callers: open-loop Poisson arrivals by kind, patience, and repeats that may
 * or may not honour a retry time.
 */
import type { Random } from '../core/random.js';
import { CallerRequest } from './caller-request.js';
import type { CallersOptions } from './callers-options.js';
import { createRecord } from './recorder.js';
import { createStream, sampleExponential } from './sampling.js';
import type { World } from './world.js';

/** All callers of a run. */
export class Callers {
  private sent = 0;
  private readonly choices: Random;

  constructor(
    private readonly world: World,
    private readonly options: CallersOptions,
  ) {
    this.choices = createStream(options.seed, 'callers');
  }

  /** Schedules the first arrival of each kind. */
  start(): void {
    for (const kindIndex of this.world.deployment.kinds.keys()) {
      const random = createStream(this.options.seed, `arrivals ${kindIndex}`);
      this.scheduleArrival(kindIndex, random);
    }
  }

  /** Poisson process of changing rate, by thinning one of the highest rate (Lewis and Shedler). */
  private scheduleArrival(kindIndex: number, random: Random): void {
    const peak = this.options.peakRateOf(kindIndex);
    if (peak <= 0) return;
    const { queue } = this.world;
    queue.schedule(sampleExponential(random, 1_000 / peak), () => {
      if (queue.now() >= this.options.endMs) return;
      const accepted = random.next() * peak < this.options.rateOf(kindIndex, queue.now());
      if (accepted) this.sendNew(kindIndex);
      this.scheduleArrival(kindIndex, random);
    });
  }

  private sendNew(kindIndex: number): void {
    const kind = this.world.deployment.kinds[kindIndex]!;
    this.sent += 1;
    const record = createRecord(`r${this.sent}`, kind, kindIndex, this.world.queue.now());
    this.world.recorder.onSent(record);
    const zoneIndex = this.choices.nextInt(this.world.deployment.zones.length);
    new CallerRequest(this.world, this.options, record, zoneIndex, this.choices.next()).startTry();
  }
}
