/** The kernel: one inversify container, the plug-ins' life cycle, nothing else. */
import 'reflect-metadata';
import { Container } from 'inversify';
import type { Settings } from '../config/settings.js';
import type { CancelTimer, Clock } from './clock.js';
import { Event, type EventLog } from './event.js';
import type { KernelControl } from './kernel-control.js';
import type { Plugin } from './plugin.js';
import { Token } from './token.js';
import { TrafficMeter } from './traffic-meter.js';

/** Time for a drain that begins when the time of the planned stop is over, in milliseconds. */
export const LATE_DRAIN_MS = 1_000;

/** What a kernel is made from. */
export interface KernelOptions {
  /** Bound to its token when given; programs with other settings bind their own. */
  readonly settings?: Settings;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly plugins: readonly Plugin[];
}

/** Runs the plug-ins of one node. */
export class Kernel implements KernelControl {
  readonly container = new Container({ defaultScope: 'Singleton' });
  /** Resolves when a planned stop was asked for from inside the node. */
  readonly stopRequested: Promise<void>;
  private resolveStopRequested: () => void = () => {};
  private stopping = false;
  private started: Plugin[] = [];
  private readonly log: EventLog;

  constructor(private readonly options: KernelOptions) {
    this.log = options.log;
    this.stopRequested = new Promise((resolve) => {
      this.resolveStopRequested = resolve;
    });
    if (options.settings !== undefined) {
      this.container.bind(Token.Settings).toConstantValue(options.settings);
    }
    this.container.bind(Token.Clock).toConstantValue(options.clock);
    this.container.bind(Token.EventLog).toConstantValue(options.log);
    this.container.bind(Token.Kernel).toConstantValue(this);
    this.container.bind(Token.TrafficMeter).toConstantValue(new TrafficMeter());
    for (const plugin of options.plugins) plugin.bind(this.container);
  }

  /** Whether a planned stop was asked for or has begun. */
  get draining(): boolean {
    return this.stopping;
  }

  /** Asks whoever runs the node for a planned stop; see src/node/run-node.ts. */
  requestStop(): void {
    this.stopping = true;
    this.resolveStopRequested();
  }

  /** Starts every plug-in in order; on failure stops those already started and rejects. */
  async start(): Promise<void> {
    for (const plugin of this.options.plugins) {
      try {
        this.started.push(plugin);
        await plugin.start?.(this.container);
      } catch (error) {
        await this.stop();
        throw error;
      }
    }
    this.log.emit(Event.NodeStarted);
  }

  /**
   * Planned stop: drains in reverse start order, then stops. A failed drain keeps no other.
   *
   * @param timeoutMs time for all drains together; when it is over, each drain that is left
   * still gets {@link LATE_DRAIN_MS}, so that state is handed over and the others are told
   * @returns whether every drain ended within its time
   */
  async drainAndStop(timeoutMs = Number.POSITIVE_INFINITY): Promise<boolean> {
    this.stopping = true;
    this.log.emit(Event.NodeDraining);
    const { clock } = this.options;
    const end = clock.now() + timeoutMs;
    let complete = true;
    for (const plugin of [...this.started].reverse()) {
      const drainEnd = Math.max(end, clock.now() + LATE_DRAIN_MS);
      if (!(await this.drainUntil(plugin, drainEnd))) complete = false;
    }
    await this.stop();
    return complete;
  }

  /** Stops in reverse start order; a plug-in that fails to stop does not keep the others. */
  async stop(): Promise<void> {
    const started = [...this.started].reverse();
    this.started = [];
    for (const plugin of started) {
      await this.attempt(plugin, () => plugin.stop?.(this.container));
    }
    this.log.emit(Event.NodeStopped);
  }

  private async drainUntil(plugin: Plugin, endAt: number): Promise<boolean> {
    const step = (): Promise<void> | undefined => plugin.drain?.(this.container, endAt);
    const drained = this.attempt(plugin, step).then(() => true);
    if (endAt === Number.POSITIVE_INFINITY) return await drained;
    const limitMs = endAt - this.options.clock.now();
    let cancel: CancelTimer = () => {};
    const late = new Promise<boolean>((resolve) => {
      cancel = this.options.clock.schedule(limitMs, () => {
        resolve(false);
      });
    });
    const inTime = await Promise.race([drained, late]);
    cancel();
    if (!inTime) {
      const error = `drain not ended within ${Math.ceil(limitMs)} ms`;
      this.log.emit(Event.InternalError, { plugin: plugin.name, error });
    }
    return inTime;
  }

  private async attempt(plugin: Plugin, step: () => Promise<void> | undefined): Promise<void> {
    try {
      await step();
    } catch (error) {
      this.log.emit(Event.InternalError, { plugin: plugin.name, error: String(error) });
    }
  }
}
