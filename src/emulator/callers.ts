/**
 * Model of the callers: open-loop Poisson arrivals by kind, patience, and repeats that may
 * or may not honour a retry time.
 */
import type { Random } from '../core/random.js';
import { CallerRequest } from './caller-request.js';
import type { EmulatedNode } from './emulated-node.js';
import { createRecord } from './recorder.js';
import { createStream, sampleExponential } from './sampling.js';
import type { World } from './world.js';

/** How callers repeat a request. */
export interface CallerBehaviour {
  /** Most tries of one request, the first included. */
  readonly tries: number;
  /** Part of the kind's deadline that one try waits before it is repeated. */
  readonly tryTimeoutShare: number;
  /** Wait before a repeat, in milliseconds. */
  readonly backoffMs: number;
  /** Whether a repeat waits for the retry time of a refusal. */
  readonly honoursRetryAfter: boolean;
  /** Time after which callers know that their zone is lost, in milliseconds. */
  readonly failoverMs: number;
}

/** What the callers need of the run. */
export interface CallersOptions {
  readonly behaviour: CallerBehaviour;
  readonly seed: number;
  /** Requests per second of a kind at a time. */
  readonly rateOf: (kindIndex: number, now: number) => number;
  /** Highest rate of a kind over the run. */
  readonly peakRateOf: (kindIndex: number) => number;
  /** No request is sent from here on. */
  readonly endMs: number;
  /** The node a caller of a zone uses now, or `undefined` when its zone has just been lost. */
  readonly entryNode: (zoneIndex: number, choice: number) => EmulatedNode | undefined;
}

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
