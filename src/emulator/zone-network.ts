/** Network between the zones: message delays, and which zones are lost. */
import { delayBetween, type Deployment } from './deployment.js';
import type { EventQueue } from './event-queue.js';

/** The network of a deployment. */
export class ZoneNetwork {
  private readonly delays: ReadonlyMap<string, ReadonlyMap<string, number>>;
  /** Time at which a zone was lost, while it is lost. */
  private readonly lostAt = new Map<string, number>();

  constructor(
    private readonly deployment: Deployment,
    private readonly queue: EventQueue,
    /** Time until callers notice that their zone is lost, in milliseconds. */
    private readonly failoverMs: number,
  ) {
    const names = deployment.zones.map(({ name }) => name);
    this.delays = new Map(
      names.map((from) => [
        from,
        new Map(names.map((to) => [to, delayBetween(deployment, from, to)])),
      ]),
    );
  }

  /**
   * Delivers a message after the delay. Drops it when either zone is lost at sending time, or the
   * receiving zone at delivery time.
   */
  send(from: string, to: string, deliver: () => void): void {
    if (this.lostAt.has(from) || this.lostAt.has(to)) return;
    this.queue.schedule(this.delays.get(from)!.get(to)!, () => {
      if (!this.lostAt.has(to)) deliver();
    });
  }

  /** Marks the zone as lost; all its machines are gone. */
  lose(zone: string): void {
    this.lostAt.set(zone, this.queue.now());
  }

  /** Marks the zone as available again. */
  restore(zone: string): void {
    this.lostAt.delete(zone);
  }

  isLost(zone: string): boolean {
    return this.lostAt.has(zone);
  }

  /**
   * Returns the zone that callers of a zone use: their own, or the next one that is not lost.
   *
   * @returns `undefined` while callers still send into a lost zone, or when all are lost
   */
  entryZone(zoneIndex: number): string | undefined {
    const { zones } = this.deployment;
    for (let step = 0; step < zones.length; step += 1) {
      const { name } = zones[(zoneIndex + step) % zones.length]!;
      const lostAt = this.lostAt.get(name);
      if (lostAt === undefined) return name;
      if (this.queue.now() < lostAt + this.failoverMs) return undefined;
    }
    return undefined;
  }
}
