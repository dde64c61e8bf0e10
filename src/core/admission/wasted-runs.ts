/**
 * Refuses requests whose runs would fail because a downstream call is refused for load, before work is
 * spent on them. Each run that is wasted in this way raises the refused share of its kind. The share falls
 * with time, so that it recovers even when few requests are admitted. The hash that every gate uses for
 * admission selects the refused requests, so that a request admitted here is admitted along the whole chain.
 */
import type { RequestContext } from '../request.js';
import { hashToUnit } from './admission-priority.js';

/** Rise of the refused share with each wasted run. */
const RISE_PER_RUN = 0.015;
/** Fall of the refused share per second. */
const FALL_PER_SECOND = 0.15;
/** Largest refused share: some requests must pass to find out whether capacity is free again. */
const MAX_SHARE = 0.98;
const MS_PER_SECOND = 1_000;

interface RefusedShare {
  share: number;
  /** Time at which `share` was computed. */
  at: number;
}

/** Refused shares of one gate, by kind and class. */
export class WastedRuns {
  private readonly shares = new Map<string, RefusedShare>();

  /** Records that a run of this request failed because a downstream call was refused for load. */
  note(now: number, request: RequestContext): void {
    const key = keyOf(request);
    const share = Math.min(MAX_SHARE, this.shareOf(now, request) + RISE_PER_RUN);
    this.shares.set(key, { share, at: now });
  }

  /** Share of the requests of the same kind and class that is refused now, from 0 to 1. */
  shareOf(now: number, request: RequestContext): number {
    const known = this.shares.get(keyOf(request));
    if (known === undefined) return 0;
    const decayed = (FALL_PER_SECOND * (now - known.at)) / MS_PER_SECOND;
    return Math.max(0, known.share - decayed);
  }

  /** Whether this request is one of those that are refused now. */
  refuses(now: number, request: RequestContext): boolean {
    const share = this.shareOf(now, request);
    return share > 0 && hashToUnit(request.requestId) < share;
  }
}

/** Tenants may give requests of one kind different importance, and each class has its own share. */
function keyOf({ kind, criticality }: RequestContext): string {
  return `${criticality} ${kind}`;
}
