/**
 * Refuses, before work is spent, requests whose runs would end for a refusal below them. Each run that was
 * lost so raises the share of its kind that is refused; the share falls with time, so that it finds its way
 * back also when little is admitted. Which requests are refused goes by the hash of admission, as at every
 * other gate, so that callers who are admitted once are admitted all along the chain.
 */
import type { RequestContext } from '../request.js';
import { hashToUnit } from './admission-priority.js';

/** Rise of the refused share with each lost run. */
const RISE_PER_RUN = 0.015;
/** Fall of the refused share a second. */
const FALL_PER_SECOND = 0.15;
/** Largest refused share: some requests must find out whether there is room again. */
const MAX_SHARE = 0.98;
const MS_PER_SECOND = 1_000;

interface RefusedShare {
  share: number;
  /** Time up to which the share has fallen. */
  at: number;
}

/** See the module comment; one for each gate. */
export class WastedRuns {
  private readonly shares = new Map<string, RefusedShare>();

  /** A run of this request ended because a call below it was refused for load. */
  note(now: number, request: RequestContext): void {
    const key = keyOf(request);
    const share = Math.min(MAX_SHARE, this.shareOf(now, request) + RISE_PER_RUN);
    this.shares.set(key, { share, at: now });
  }

  /** Share of such requests that is refused now, from 0 to 1. */
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
