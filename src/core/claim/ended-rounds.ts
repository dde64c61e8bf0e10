/** Claim rounds that have been given up, recorded for a claim that arrives after its release. */

/** Maximum number of recorded rounds; the oldest are evicted first. */
const MAX_ENDED_ROUNDS = 4_096;

/** A bounded set of round ids. */
export class EndedRounds {
  private readonly rounds = new Set<string>();

  add(attemptId: string): void {
    this.rounds.delete(attemptId);
    this.rounds.add(attemptId);
    if (this.rounds.size <= MAX_ENDED_ROUNDS) return;
    for (const oldest of this.rounds) {
      this.rounds.delete(oldest);
      return;
    }
  }

  has(attemptId: string): boolean {
    return this.rounds.has(attemptId);
  }
}
