/**
 * Polls the platform's list of machines once at start, then while this node is one of its zone's
 * watchers. Passes addresses of nodes to membership as seeds and publishes leaving targets.
 */
import type { Random } from '../core/random.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import type { LeavingTargets } from '../membership/leaving-targets.js';
import type { Membership } from '../membership/membership.js';
import { isZoneWatcher } from '../membership/zone-watchers.js';
import type { Machine, PlatformClient } from './platform-client.js';

/** Mean interval of polls; each varies by up to a quarter. */
export const MACHINE_POLL_INTERVAL_MS = 2_000;

export interface MachineListPollerOptions {
  readonly platform: PlatformClient;
  readonly membership: Membership;
  readonly leavingTargets: LeavingTargets;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly random: Random;
}

export class MachineListPoller {
  private stopped = false;
  private lastSnapshot = '';
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
    const result = await this.options.platform.machines();
    if (this.stopped) return;
    // When the list cannot be read, the last one stays in effect.
    if (result.isOk) this.apply(result.value);
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
      // Other nodes watch now. This node no longer refreshes its list, so the leaving targets of
      // its last list would stay published forever.
      leavingTargets.set('machine-list', []);
      this.pollLater();
    });
  }

  private apply(machines: readonly Machine[]): void {
    const { membership, leavingTargets, log } = this.options;
    const ownAddress = membership.self().peerAddress;
    const seeds = machines
      .filter(
        ({ role, state, address }) => role === 'node' && state === 'live' && address !== ownAddress,
      )
      .map(({ address }) => address);
    const leaving = machines
      .filter(({ role, state }) => role === 'target' && state === 'leaving')
      .map(({ id }) => id);
    membership.addSeeds(seeds);
    leavingTargets.set('machine-list', leaving);
    const snapshot = JSON.stringify(machines);
    if (snapshot === this.lastSnapshot) return;
    this.lastSnapshot = snapshot;
    log.emit(Event.MachineListUpdated, { machines: machines.length, leaving: leaving.join(' ') });
  }
}
