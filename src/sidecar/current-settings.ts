/**
 * Keeps the settings up to date. The file may change at any time, with SIGHUP or without; an invalid file
 * is rejected and the previous settings stay in force. Changed bounds take effect at once; changed names
 * and addresses need a restart of the process.
 */
import type { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import type { SidecarSettings } from './settings.js';

/** Interval between checks of the file; a signal reloads it at once. */
const CHECK_INTERVAL_MS = 5_000;

/** Source of the settings. */
export interface SettingsSource {
  /** Reads and validates the settings. */
  read(): Promise<Result<SidecarSettings, Failure>>;
  /** Returns a text that differs whenever the settings may have changed. */
  stamp(): Promise<string>;
}

/** Holds the settings in force and reloads them when the source changes. */
export class CurrentSettings {
  private cancelCheck: CancelTimer = () => {};
  private lastStamp: string | undefined;
  private closed = false;

  constructor(
    private settings: SidecarSettings,
    private readonly source: SettingsSource | undefined,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** The settings in force. */
  get current(): SidecarSettings {
    return this.settings;
  }

  /** Starts the periodic checks of the source. */
  async start(): Promise<void> {
    this.lastStamp = await this.source?.stamp();
    this.scheduleCheck();
  }

  close(): void {
    this.closed = true;
    this.cancelCheck();
  }

  /** Reads the settings again. */
  async reload(): Promise<void> {
    const read = await this.source?.read();
    if (read === undefined) return;
    if (read.isErr) {
      const { code, detail } = read.error;
      this.log.emit(Event.SettingsRejected, { code, detail });
      return;
    }
    const needsRestart = fixedPart(read.value) !== fixedPart(this.settings);
    this.settings = read.value;
    this.log.emit(Event.SettingsReloaded, { needsRestart });
  }

  private scheduleCheck(): void {
    if (this.closed || this.source === undefined) return;
    this.cancelCheck = this.clock.schedule(CHECK_INTERVAL_MS, () => {
      void this.check();
    });
  }

  private async check(): Promise<void> {
    const stamp = await this.source?.stamp();
    if (stamp !== this.lastStamp) {
      this.lastStamp = stamp;
      await this.reload();
    }
    this.scheduleCheck();
  }
}

/** Returns the settings that need a restart to change, in a comparable form. */
function fixedPart({ node, listen, target, store }: SidecarSettings): string {
  return JSON.stringify({ node, listen, target, store });
}
