/**
 * Divides the attempt budget of a call among its attempts, and computes how many attempts a call
 * below an attempt may request. Pure; see docs/design/attempt-budget.md.
 */

/** The calls that a service makes, by name. */
export type CallGraph = (service: string) => readonly string[];

/** Bound on the need of a subtree: the largest number of attempts that rules can grant. */
const MAX_NEED = 255;

/**
 * Fewest attempts with which a call of `service` can succeed: one for itself, and the need of
 * every service that it calls. A service that is called again below itself counts there without
 * its calls.
 */
export function minimalNeed(service: string, callsOf: CallGraph): number {
  return Math.min(MAX_NEED, needOf(service, callsOf, new Set()));
}

function needOf(service: string, callsOf: CallGraph, ancestors: ReadonlySet<string>): number {
  if (ancestors.has(service)) return 1;
  const path = new Set(ancestors).add(service);
  let need = 1;
  for (const callee of callsOf(service)) {
    need += needOf(callee, callsOf, path);
    if (need >= MAX_NEED) return MAX_NEED;
  }
  return need;
}

/**
 * Number of attempts that a call below an attempt requests: as many as its kind allows, while
 * the minimal need of the parent's other callees is left for them.
 */
export function wantedAttempts(
  remaining: number,
  kindAttempts: number,
  need: number,
  needOfOthers: number,
): number {
  const fairShare = Math.max(remaining - needOfOthers, Math.min(need, remaining));
  return Math.max(0, Math.min(kindAttempts, fairShare));
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

  /** Attempts spent so far, including grants that are not settled. */
  get used(): number {
    return this.spent;
  }

  /**
   * Grants the next attempt a part of the budget, for itself and the calls below it. Reserves
   * enough for one more complete attempt when the budget allows it, so that one lost answer does
   * not end the retries.
   *
   * @returns the grant, 0 when nothing is left
   */
  grant(): number {
    const reserve = this.left >= 2 * this.need ? this.need : 0;
    const granted = this.need === 1 ? Math.min(1, this.left) : this.left - reserve;
    this.left -= granted;
    this.spent += granted;
    return granted;
  }

  /** Settles a grant whose attempt reported its use; a use above the grant counts as the grant. */
  settle(granted: number, used: number): void {
    const unused = Math.max(0, granted - Math.max(0, used));
    this.left += unused;
    this.spent -= unused;
  }
}
