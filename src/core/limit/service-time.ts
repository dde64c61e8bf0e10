/** Estimates of the time that a target takes for a request, by kind. */
import type { AttemptOutcome } from '../request.js';

/** Weight of one sample at a high rate of samples. */
const MIN_WEIGHT = 0.08;
/** Time constant with which a sample's weight grows with the pause before it, in milliseconds. */
const TIME_CONSTANT_MS = 250;
/** Estimate before any sample, in milliseconds. */
const DEFAULT_ESTIMATE_MS = 10;

interface Estimate {
  meanMs: number;
  updatedAt: number;
}

/** Smoothed service times (dispatch to complete answer), by kind and over all kinds. */
export class ServiceTime {
  private readonly byKind = new Map<string, Estimate>();
  private overall: Estimate | undefined;

  /** Records one ended request; a timeout gives a lower bound. */
  note(now: number, kind: string, latencyMs: number, outcome: AttemptOutcome): void {
    if (outcome === 'success') {
      this.add(now, kind, latencyMs);
    } else if (outcome === 'timeout' && latencyMs > (this.ofKind(kind) ?? 0)) {
      this.add(now, kind, latencyMs);
    }
  }

  /** Mean over all kinds, in milliseconds. */
  mean(): number {
    return this.overall?.meanMs ?? DEFAULT_ESTIMATE_MS;
  }

  /** Mean of one kind, in milliseconds; `undefined` before its first sample. */
  ofKind(kind: string): number | undefined {
    return this.byKind.get(kind)?.meanMs;
  }

  private add(now: number, kind: string, latencyMs: number): void {
    this.overall = update(this.overall, now, latencyMs);
    this.byKind.set(kind, update(this.byKind.get(kind), now, latencyMs));
  }
}

function update(estimate: Estimate | undefined, now: number, latencyMs: number): Estimate {
  if (estimate === undefined) return { meanMs: latencyMs, updatedAt: now };
  const pauseWeight = 1 - Math.exp((estimate.updatedAt - now) / TIME_CONSTANT_MS);
  const weight = Math.max(MIN_WEIGHT, pauseWeight);
  const meanMs = estimate.meanMs + weight * (latencyMs - estimate.meanMs);
  return { meanMs, updatedAt: now };
}
