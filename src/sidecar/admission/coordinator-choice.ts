/** Chooses the node that coordinates the admission to a service, by rendezvous hashing. */
import { rankNodes } from '../../core/rendezvous.js';

/** A known node that is not known to be unreachable. */
export interface CandidateNode {
  readonly node: string;
  /** Service of its target. */
  readonly service: string;
}

/** Time for which a node that did not reply is passed over, in milliseconds. */
const SKIP_MS = 5_000;

/** The coordinator of one service, as this node sees it. */
export class CoordinatorChoice {
  private readonly skippedUntil = new Map<string, number>();
  private last: string | undefined;

  /**
   * @param candidates known and reachable nodes, this one included
   * @param onChanged called when another node than before is chosen
   */
  constructor(
    private readonly service: string,
    private readonly candidates: () => readonly CandidateNode[],
    private readonly onChanged: (node: string, before: string | undefined) => void,
  ) {}

  /** Nodes that front a target of the service are chosen only when there is no other, since they are the busiest. */
  choose(now: number): string {
    const candidates = this.candidates();
    const others = candidates.filter(({ service }) => service !== this.service);
    const ranked = this.rank(others.length > 0 ? others : candidates);
    const chosen = ranked.find((node) => now >= (this.skippedUntil.get(node) ?? 0)) ?? ranked[0]!;
    if (chosen !== this.last) this.onChanged(chosen, this.last);
    this.last = chosen;
    return chosen;
  }

  /** Passes over a node for a time, since it did not reply. */
  skip(now: number, node: string): void {
    for (const [known, until] of this.skippedUntil) {
      if (now >= until) this.skippedUntil.delete(known);
    }
    this.skippedUntil.set(node, now + SKIP_MS);
  }

  private rank(candidates: readonly CandidateNode[]): readonly string[] {
    return rankNodes(
      this.service,
      candidates.map(({ node }) => node),
    );
  }
}

/** The coordinators of all services, as this node sees them. */
export class CoordinatorChoices {
  private readonly byService = new Map<string, CoordinatorChoice>();

  constructor(
    private readonly candidates: () => readonly CandidateNode[],
    private readonly onChanged: (service: string, node: string, before?: string) => void,
  ) {}

  of(service: string): CoordinatorChoice {
    let choice = this.byService.get(service);
    if (choice === undefined) {
      choice = new CoordinatorChoice(service, this.candidates, (node, before) => {
        this.onChanged(service, node, before);
      });
      this.byService.set(service, choice);
    }
    return choice;
  }
}
