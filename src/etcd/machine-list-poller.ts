/**
 * Polls the platform's list of machines while this node is one of its zone's watchers, and
 * once at start. Addresses of nodes go to membership as seeds, leaving targets are published.
 */
import type { Random } from '../core/random.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import type { LeavingTargets } from '../membership/leaving-targets.js';
import type { Membership } from '../membership/membership.js';
import { isZoneWatcher } from '../membership/zone-watchers.js';
import type { Machine, PlatformClient } from './platform-client.js';

/** Mean interval of polls in milliseconds; the actual one varies by a quarter. */
export const MACHINE_POLL_INTERVAL_MS = 2_000;

/** What the poller works with. */
export interface MachineListPollerOptions {
  readonly platform: PlatformClient;
  readonly membership: Membership;
  readonly leavingTargets: LeavingTargets;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly random: Random;
}

/** The poller of one node. */
export class MachineListPoller {
  private stopped = false;
  private lastSeen = '';
  private cancelTimer: CancelTimer = () => {};

  constructor(private readonly options: MachineListPollerOptions) {}

  start(): void {
    void this.poll();
  }

  stop(): void {
    this.stopped = true;
    this.cancelTimer();
  }

  private async poll(): Promise<void> {
    const read = await this.options.platform.machines();
    if (this.stopped) return;
    // A list that cannot be read says nothing: what was seen before stands.
    if (read.isOk) this.takeIn(read.value);
    this.pollLater();
  }

  private pollLater(): void {
    const { clock, random, membership, leavingTargets } = this.options;
    const delayMs = MACHINE_POLL_INTERVAL_MS * (0.75 + random.next() / 2);
    this.cancelTimer = clock.schedule(delayMs, () => {
      if (isZoneWatcher(membership)) {
        void this.poll();
        return;
      }
      // Another node watches: what this one saw is out of date and must not stand for ever.
      leavingTargets.set('machine-list', []);
      this.pollLater();
    });
  }

  private takeIn(machines: readonly Machine[]): void {
    const { membership, leavingTargets, log } = this.options;
    const own = membership.self().peerAddress;
    const seeds = machines
      .filter(({ role, state, address }) => role === 'node' && state === 'live' && address !== own)
      .map(({ address }) => address);
    const leaving = machines
      .filter(({ role, state }) => role === 'target' && state === 'leaving')
      .map(({ id }) => id);
    membership.addSeeds(seeds);
    leavingTargets.set('machine-list', leaving);
    const seen = JSON.stringify(machines);
    if (seen === this.lastSeen) return;
    this.lastSeen = seen;
    log.emit(Event.MachineListUpdated, { machines: machines.length, leaving: leaving.join(' ') });
  }
}
