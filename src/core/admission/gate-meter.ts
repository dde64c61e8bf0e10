/** Measures the load of the gate of a target in intervals. */
import type { GateCapacity } from './capacity-control.js';

/** Share of the slots in use, or waiting calls, above which a gate reports. */
const BUSY_SHARE = 0.8;

/** Counts calls; the load is sampled at arrivals and ends, which is cheaper than to integrate it. */
export class GateMeter {
  private limit = 0;
  private pending = 0;
  private sum = 0;
  private samples = 0;
  private offered = 0;
  private refused = 0;

  /** Whether more than {@link BUSY_SHARE} of the slots are used now. */
  get isBusy(): boolean {
    return this.limit > 0 && this.pending > BUSY_SHARE * this.limit;
  }

  noteLimit(limit: number): void {
    this.limit = limit;
  }

  /** Records a call that was offered. */
  noteOffered(): void {
    this.offered += 1;
    this.pending += 1;
    this.sample();
  }

  /** Records a call that was refused for load. */
  noteRefused(): void {
    this.refused += 1;
  }

  /** Records that a call no longer waits or runs, however it ended. */
  noteEnd(): void {
    this.sample();
    this.pending = Math.max(0, this.pending - 1);
  }

  /** Forgets the calls of a gate that was replaced. */
  reset(): void {
    this.pending = 0;
  }

  /** Ends an interval; undefined while the limit is not known. */
  take(): GateCapacity | undefined {
    const { limit, sum, samples, offered, refused } = this;
    const pending = samples === 0 ? this.pending : sum / samples;
    this.sum = 0;
    this.samples = 0;
    this.offered = 0;
    this.refused = 0;
    return limit > 0 ? { limit, pending, offered, refused } : undefined;
  }

  private sample(): void {
    this.sum += this.pending;
    this.samples += 1;
  }
}
