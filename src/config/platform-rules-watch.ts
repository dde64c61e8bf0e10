/**
 * Reads the rules from the platform and watches their changes, while this node is one of its
 * zone's watchers. A watch that is lost is opened again after a new read. The last change is
 * also polled, because a watch on a broken link may stall without an error.
 */
import type { Random } from '../core/random.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import type { PlatformClient, WatchEvent } from '../etcd/platform-client.js';
import type { RevisionRecord } from './config-store.js';
import { CURRENT_PREFIX, decodeRevision, HEAD_KEY, readSnapshot } from './stored-revision.js';

/** Pause before a lost watch is opened again; doubles up to the maximum, with jitter. */
const MIN_REOPEN_MS = 250;
const MAX_REOPEN_MS = 5_000;
/** Interval at which the last change is polled; the actual one varies by a quarter. */
export const HEAD_POLL_INTERVAL_MS = 4_000;

export interface PlatformRulesWatchOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: EventLog;
  /** Highest version that the node has. */
  readonly currentVersion: () => number;
  /** Called with new records; every record up to their highest version is among them or known. */
  readonly onRecords: (records: readonly RevisionRecord[]) => void;
}

/** Watches the platform's rules between `start` and `stop`; both may be called repeatedly. */
export class PlatformRulesWatch {
  private active = false;
  /** Rises when the watch is opened or closed; answers to an earlier generation are ignored. */
  private generation = 0;
  private failures = 0;
  private stopStream: () => void = () => {};
  private cancelTimer: CancelTimer = () => {};

  constructor(private readonly options: PlatformRulesWatchOptions) {}

  /** Whether the node reads and watches the platform now. */
  get running(): boolean {
    return this.active;
  }

  start(): void {
    if (this.active) return;
    this.active = true;
    this.failures = 0;
    void this.open();
  }

  stop(): void {
    this.active = false;
    this.closeStream();
  }

  private async open(): Promise<void> {
    this.closeStream();
    const generation = this.generation;
    const read = await readSnapshot(this.options.platform);
    if (generation !== this.generation) return;
    if (read.isErr) {
      this.reopenLater();
      return;
    }
    this.options.onRecords(read.value.records);
    for (const key of read.value.unreadable) this.rejectUnreadable(key);
    const from = read.value.storeRevision + 1;
    this.stopStream = this.options.platform.watch(CURRENT_PREFIX, from, (event) => {
      if (generation === this.generation) this.onEvent(event);
    });
    this.pollLater(generation);
  }

  private closeStream(): void {
    this.generation += 1;
    this.stopStream();
    this.stopStream = () => {};
    this.cancelTimer();
  }

  private onEvent(event: WatchEvent): void {
    if (event.type === 'lost') {
      this.reopenLater();
      return;
    }
    this.failures = 0;
    const record = decodeRevision(event.keyValue);
    if (record === undefined) this.rejectUnreadable(event.keyValue.key);
    else this.options.onRecords([record]);
  }

  /** Keeps the record in force; a newer program may have written the unreadable one. */
  private rejectUnreadable(key: string): void {
    this.options.log.emit(Event.RulesRejected, { key, detail: 'stored rules cannot be read' });
  }

  private reopenLater(): void {
    this.closeStream();
    const ceiling = Math.min(MAX_REOPEN_MS, MIN_REOPEN_MS * 2 ** this.failures);
    this.failures += 1;
    this.schedule((ceiling * (1 + this.options.random.next())) / 2, () => void this.open());
  }

  private pollLater(generation: number): void {
    const factor = 0.75 + this.options.random.next() / 2;
    this.schedule(HEAD_POLL_INTERVAL_MS * factor, () => void this.poll(generation));
  }

  private async poll(generation: number): Promise<void> {
    const read = await this.options.platform.range(HEAD_KEY);
    if (generation !== this.generation) return;
    if (read.isOk) this.failures = 0;
    const head = read.isOk ? (read.value.values[0]?.modRevision ?? 0) : 0;
    if (head > this.options.currentVersion()) await this.open();
    else this.pollLater(generation);
  }

  private schedule(delayMs: number, callback: () => void): void {
    this.cancelTimer();
    this.cancelTimer = this.options.clock.schedule(delayMs, callback);
  }
}
