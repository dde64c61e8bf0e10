/** The order in which members are probed: each once per round, shuffled again for each round. */
import type { Random } from '../random.js';

/** Round-robin probing with a random order (SWIM, section 4.3). */
export class ProbeOrder {
  private order: string[] = [];
  private position = 0;

  constructor(private readonly random: Random) {}

  /** Adds a member at a random place in the remainder of the round. */
  add(nodeId: string): void {
    const remaining = this.order.length - this.position;
    const place = this.position + this.random.nextInt(remaining + 1);
    this.order.splice(place, 0, nodeId);
  }

  /** The next member for which `isProbeable` holds; starts a new round from `all` at the end. */
  next(all: () => string[], isProbeable: (nodeId: string) => boolean): string | undefined {
    for (let round = 0; round < 2; round += 1) {
      while (this.position < this.order.length) {
        const nodeId = this.order[this.position]!;
        this.position += 1;
        if (isProbeable(nodeId)) return nodeId;
      }
      this.order = all();
      this.position = 0;
      shuffle(this.order, this.random);
    }
    return undefined;
  }
}

/** Shuffles in place (Fisher and Yates). */
export function shuffle(items: string[], random: Random): void {
  for (let index = items.length - 1; index > 0; index -= 1) {
    const other = random.nextInt(index + 1);
    const item = items[index]!;
    items[index] = items[other]!;
    items[other] = item;
  }
}

/** Picks up to `count` different items at random. */
export function sample<T>(items: readonly T[], count: number, random: Random): T[] {
  const copy = [...items];
  const picked: T[] = [];
  while (picked.length < count && copy.length > 0) {
    const index = random.nextInt(copy.length);
    picked.push(copy[index]!);
    copy[index] = copy[copy.length - 1]!;
    copy.pop();
  }
  return picked;
}
