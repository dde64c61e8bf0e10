/** Watches a prefix of the store: lists it first, then follows its changes, and lists it again after a gap. */
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { Random } from '../../core/random.js';
import type {
  MetadataStore,
  StoreEvent,
  StoreFailure,
  StoreItem,
} from '../../store/metadata-store.js';
import type { StoreBackoff } from '../../store/store-backoff.js';
import type { StoreEras } from '../../store/store-eras.js';

export interface PrefixWatchOptions {
  readonly prefix: string;
  readonly store: MetadataStore;
  /** Shared by all watches of this node. */
  readonly backoff: StoreBackoff;
  readonly eras: StoreEras;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Jitters the waits, so that nodes do not call the store at the same time. */
  readonly random: Random;
  /** Mean wait of one call for changes, in milliseconds; each wait differs from it by up to a quarter. */
  waitMs(): number;
  /** Pause after changes, in milliseconds, so that one call returns all changes that follow. */
  pauseAfterEventsMs(): number;
  /**
   * Time for which no wait for changes is needed, since other nodes report them, in milliseconds; 0: wait now.
   * Absent: always 0.
   */
  restMs?(): number;
  /** Called with all items, after the start and after a gap. */
  onListing(items: readonly StoreItem[]): void;
  onEvents(events: readonly StoreEvent[]): void;
  /** Called when all that the store held at this boot time has been reported. */
  onCurrent?(requestedAt: number): void;
}

/** Time in which a wait in progress delivers a change that a check has found, in milliseconds. */
const DELIVERY_TIME_MS = 200;

/**
 * A store that answers a wait before this share of it, and without changes, may do so each time. The pause keeps the
 * calls from following each other without end.
 */
const EARLY_ANSWER_SHARE = 0.1;
const EARLY_ANSWER_PAUSE_MS = 100;

/** Watch of one prefix; runs until it is closed. */
export class PrefixWatch {
  private closed = false;
  private listed = false;
  private available = true;
  /** Whether a wait for changes is in progress. */
  private waiting = false;
  private revision: number | undefined;
  /** Era of the store to which the revision belongs. */
  private era: number | undefined;

  /** All items of the first listing. */
  readonly firstListing: Promise<readonly StoreItem[]>;
  private onFirstListing: (items: readonly StoreItem[]) => void = () => {};

  constructor(private readonly options: PrefixWatchOptions) {
    this.firstListing = new Promise((resolve) => {
      this.onFirstListing = resolve;
    });
  }

  /** Whether a listing has been received. */
  get isListed(): boolean {
    return this.listed;
  }

  /** Whether the store answered the last call. */
  get isAvailable(): boolean {
    return this.available;
  }

  /** Watches until it is closed. */
  async run(): Promise<void> {
    for (;;) {
      await this.options.backoff.waitForTurn();
      if (this.closed) return;
      try {
        await this.step();
      } catch (error) {
        this.onDefect(error);
      }
    }
  }

  private async step(): Promise<void> {
    const restMs = this.revision === undefined ? 0 : (this.options.restMs?.() ?? 0);
    if (restMs > 0) await this.pause(restMs);
    else if (this.revision === undefined) await this.list();
    else await this.watch(this.revision);
  }

  /** An item that cannot be handled must neither end the process nor the watch. */
  private onDefect(error: unknown): void {
    const { log, prefix, backoff } = this.options;
    log.emit(Event.InternalError, { prefix, error: String(error) });
    this.waiting = false;
    this.revision = undefined;
    backoff.noteFailed();
  }

  /**
   * Checks at once whether there are changes, in parallel with the wait in progress. The answer is reported
   * like those of the waits. If the wait does not deliver the changes as well, its connection has gone silent.
   *
   * @returns whether the store answered
   */
  async check(): Promise<boolean> {
    const { backoff } = this.options;
    await backoff.waitForTurn();
    const { revision, era } = this;
    if (revision === undefined) return false;
    const requestedAt = this.options.clock.bootNow();
    const result = await this.options.store.poll(this.options.prefix, revision);
    if (result.isErr) {
      backoff.noteFailed();
      return false;
    }
    backoff.noteAnswered();
    if (this.closed || result.value.type === 'interrupted') return false;
    // The revision has no meaning in another era.
    if (result.value.type === 'compacted' || era !== this.options.eras.current) {
      this.listAgain(revision);
      return false;
    }
    const { events, at } = result.value;
    if (events.length > 0) {
      // Otherwise each check during a rest would return these changes again.
      if (!this.waiting && revision === this.revision) this.revision = at;
      else this.expectDelivery(revision);
      this.options.onEvents(events);
    }
    this.options.onCurrent?.(requestedAt);
    return true;
  }

  /** Stops watching after the call in progress. */
  close(): void {
    this.closed = true;
  }

  private async list(): Promise<void> {
    const { eras, store, prefix } = this.options;
    const { current: era } = eras;
    const requestedAt = this.options.clock.bootNow();
    const listing = await store.list(prefix);
    if (listing.isErr) {
      this.onFailure(listing.error);
      return;
    }
    this.onSuccess();
    // Pages from two eras are not a consistent listing.
    if (era !== undefined && era !== eras.current) return;
    this.era = eras.current;
    this.revision = listing.value.at;
    this.options.onListing(listing.value.items);
    this.listed = true;
    this.options.onCurrent?.(requestedAt);
    this.onFirstListing(listing.value.items);
  }

  private async watch(revision: number): Promise<void> {
    const { store, prefix, waitMs, random } = this.options;
    const requestedAt = this.options.clock.bootNow();
    const jittered = Math.round(waitMs() * (0.75 + 0.5 * random.next()));
    this.waiting = true;
    const result = await store.watch(prefix, revision, jittered);
    this.waiting = false;
    if (result.isErr) {
      // Changes may have been missed, and another wait could be cut off as well: list again.
      this.revision = undefined;
      this.onFailure(result.error);
      return;
    }
    if (result.value.type === 'interrupted') return;
    this.onSuccess();
    // The revision has no meaning in another era: changes may have lower revisions.
    if (result.value.type === 'compacted' || this.era !== this.options.eras.current) {
      this.revision = undefined;
      return;
    }
    // Without changes the revision stays: if an answer missed a change, a higher revision would skip that
    // change.
    if (result.value.events.length === 0) {
      this.options.onCurrent?.(requestedAt);
      const isEarly = this.options.clock.bootNow() - requestedAt < jittered * EARLY_ANSWER_SHARE;
      if (isEarly) await this.pause(EARLY_ANSWER_PAUSE_MS);
      return;
    }
    this.revision = result.value.at;
    this.options.onEvents(result.value.events);
    this.options.onCurrent?.(requestedAt);
    await this.pause(this.options.pauseAfterEventsMs());
  }

  /** Ends the wait in progress, whose connection may be silent, so that everything is listed again. */
  private listAgain(revision: number): void {
    if (this.revision !== revision) return;
    this.revision = undefined;
    this.options.store.replaceConnections();
  }

  /** Replaces all connections to the store unless the wait in progress delivers what a check has found. */
  private expectDelivery(revision: number): void {
    this.options.clock.schedule(DELIVERY_TIME_MS, () => {
      if (this.closed || !this.waiting || this.revision !== revision) return;
      this.options.log.emit(Event.StoreWaitSilent, { prefix: this.options.prefix });
      this.options.store.replaceConnections();
    });
  }

  private onSuccess(): void {
    this.options.backoff.noteAnswered();
    if (this.available) return;
    this.available = true;
    this.options.log.emit(Event.PlatformRecovered, { prefix: this.options.prefix });
  }

  private onFailure({ detail, waitedMs, connection }: StoreFailure): void {
    const { log, prefix, backoff } = this.options;
    if (this.available) {
      log.emit(Event.PlatformUnavailable, { prefix, detail, waitedMs, connection });
    }
    this.available = false;
    backoff.noteFailed();
  }

  private pause(delayMs: number): Promise<void> {
    if (delayMs === 0 || this.closed) return Promise.resolve();
    return new Promise((resolve) => {
      this.options.clock.schedule(delayMs, resolve);
    });
  }
}
