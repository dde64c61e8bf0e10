/**
 * The settings as they are now. The file may change at any time, with SIGHUP or without; what
 * cannot be read is refused and the old settings stay. Bounds are used from the newest settings;
 * names and addresses hold for a life of the process.
 */
import type { Result } from 'true-myth';
import type { Failure } from '../core/failure.js';
import type { CancelTimer, Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import type { SidecarSettings } from './settings.js';

/** Pause between looks at the file; a signal makes it at once. */
const CHECK_INTERVAL_MS = 5_000;

/** Where settings come from. */
export interface SettingsSource {
  /** Reads and checks the settings. */
  read(): Promise<Result<SidecarSettings, Failure>>;
  /** Changes whenever the settings may have changed. */
  stamp(): Promise<string>;
}

/** See the module comment. */
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

  /** Starts to look at the file. */
  async start(): Promise<void> {
    this.lastStamp = await this.source?.stamp();
    this.checkLater();
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

  private checkLater(): void {
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
    this.checkLater();
  }
}

/** What holds for a life of the process, in a form that can be compared. */
function fixedPart({ node, listen, target, store }: SidecarSettings): string {
  return JSON.stringify({ node, listen, target, store });
}
