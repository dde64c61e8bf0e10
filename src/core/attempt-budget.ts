/**
 * How the attempts of one call are shared out over its tries, and how many a call below an
 * attempt may ask for. Pure; see docs/design/attempt-budget.md.
 */

/** The calls that a service makes, by name. */
export type CallGraph = (service: string) => readonly string[];

/** Bound on the need of a subtree: the largest number of attempts that rules can grant. */
const MAX_NEED = 255;

/**
 * Fewest attempts with which a call of `service` can succeed: one for itself, and the need of
 * every service that it calls. A service that stands above itself counts without its calls.
 */
export function minimalNeed(service: string, callsOf: CallGraph): number {
  return Math.min(MAX_NEED, needOf(service, callsOf, new Set()));
}

function needOf(service: string, callsOf: CallGraph, above: ReadonlySet<string>): number {
  if (above.has(service)) return 1;
  const path = new Set(above).add(service);
  let need = 1;
  for (const callee of callsOf(service)) {
    need += needOf(callee, callsOf, path);
    if (need >= MAX_NEED) return MAX_NEED;
  }
  return need;
}

/**
 * Attempts that one call below an attempt asks for: all that its kind allows, but what the
 * parent's other callees need at the least is left for them.
 */
export function wantedAttempts(
  remaining: number,
  kindAttempts: number,
  need: number,
  needOfOthers: number,
): number {
  const fair = Math.max(remaining - needOfOthers, Math.min(need, remaining));
  return Math.max(0, Math.min(kindAttempts, fair));
}

/** The attempts of one call at one hop. */
export class AttemptBudget {
  private left: number;
  private spent = 0;

  /**
   * @param total attempts for the call and everything below it
   * @param need see {@link minimalNeed}
   */
  constructor(
    total: number,
    private readonly need: number,
  ) {
    this.left = Math.max(0, total);
  }

  /** Attempts that are neither spent nor granted. */
  get remaining(): number {
    return this.left;
  }

  /** Attempts spent so far, grants that have not come back included. */
  get used(): number {
    return this.spent;
  }

  /**
   * Grants attempts to the next try. Enough for one more whole try is kept back when the
   * budget allows it, so that one lost answer does not end the retries.
   *
   * @returns the grant, 0 when nothing is left
   */
  grant(): number {
    const keptBack = this.left >= 2 * this.need ? this.need : 0;
    const granted = this.need === 1 ? Math.min(1, this.left) : this.left - keptBack;
    this.left -= granted;
    this.spent += granted;
    return granted;
  }

  /** Settles a grant whose try told what it used; more than granted counts as the grant. */
  settle(granted: number, used: number): void {
    const unused = Math.max(0, granted - Math.max(0, used));
    this.left += unused;
    this.spent -= unused;
  }
}
