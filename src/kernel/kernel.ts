/** The kernel: one inversify container and the life cycle of the plug-ins. */
import 'reflect-metadata';
import { Container } from 'inversify';
import type { Settings } from '../config/settings.js';
import type { CancelTimer, Clock } from './clock.js';
import { Event, type EventLog } from './event.js';
import type { KernelControl } from './kernel-control.js';
import type { Plugin } from './plugin.js';
import { DEFAULT_BIND_TIMEOUT_MS, PortBinder } from './port-binder.js';
import { Token } from './token.js';
import { TrafficMeter } from './traffic-meter.js';

/** Minimum time for each drain, also when the time limit of the planned stop is over. */
export const MIN_DRAIN_MS = 1_000;

export interface KernelOptions {
  /** Bound to `Token.Settings` when given; programs with other settings bind their own. */
  readonly settings?: Settings;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly plugins: readonly Plugin[];
  /** Time for which a taken port is tried again, in milliseconds; absent: {@link DEFAULT_BIND_TIMEOUT_MS}. */
  readonly bindTimeoutMs?: number;
}

/** Runs the plug-ins of one node or sidecar. */
export class Kernel implements KernelControl {
  readonly container = new Container({ defaultScope: 'Singleton' });
  /** Resolves when a plug-in requests a planned stop. */
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
    const binder = new PortBinder({
      clock: options.clock,
      log: options.log,
      timeoutMs: options.bindTimeoutMs ?? DEFAULT_BIND_TIMEOUT_MS,
      isStopping: () => this.stopping,
    });
    this.container.bind(Token.PortBinder).toConstantValue(binder);
    for (const plugin of options.plugins) plugin.bind(this.container);
  }

  /** Whether a planned stop was requested or has begun. */
  get draining(): boolean {
    return this.stopping;
  }

  /** Requests a planned stop; see src/kernel/run-kernel.ts. */
  requestStop(): void {
    this.stopping = true;
    this.resolveStopRequested();
  }

  /** Starts all plug-ins in order; rejects when one fails, after stopping it and those before it. */
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
   * Planned stop: drains in reverse start order, then stops. A failed drain does not prevent the
   * others.
   *
   * @param timeoutMs time limit of all drains together; after it each remaining drain still gets
   * {@link MIN_DRAIN_MS}, so that state is transferred and the other nodes are notified
   * @returns whether every drain ended within its time
   */
  async drainAndStop(timeoutMs = Number.POSITIVE_INFINITY): Promise<boolean> {
    this.stopping = true;
    this.log.emit(Event.NodeDraining);
    const { clock } = this.options;
    const end = clock.now() + timeoutMs;
    let complete = true;
    for (const plugin of [...this.started].reverse()) {
      const drainEnd = Math.max(end, clock.now() + MIN_DRAIN_MS);
      if (!(await this.drainUntil(plugin, drainEnd))) complete = false;
    }
    await this.stop();
    return complete;
  }

  /** Stops in reverse start order; a plug-in that fails to stop does not prevent the others. */
  async stop(): Promise<void> {
    this.stopping = true;
    const started = [...this.started].reverse();
    this.started = [];
    for (const plugin of started) {
      await this.runStep(plugin, () => plugin.stop?.(this.container));
    }
    this.log.emit(Event.NodeStopped);
  }

  private async drainUntil(plugin: Plugin, endAt: number): Promise<boolean> {
    const step = (): Promise<void> | undefined => plugin.drain?.(this.container, endAt);
    const drained = this.runStep(plugin, step).then(() => true);
    if (endAt === Number.POSITIVE_INFINITY) return await drained;
    const limitMs = endAt - this.options.clock.now();
    let cancel: CancelTimer = () => {};
    const timedOut = new Promise<boolean>((resolve) => {
      cancel = this.options.clock.schedule(limitMs, () => {
        resolve(false);
      });
    });
    const inTime = await Promise.race([drained, timedOut]);
    cancel();
    if (!inTime) {
      const error = `drain did not end within ${Math.ceil(limitMs)} ms`;
      this.log.emit(Event.InternalError, { plugin: plugin.name, error });
    }
    return inTime;
  }

  private async runStep(plugin: Plugin, step: () => Promise<void> | undefined): Promise<void> {
    try {
      await step();
    } catch (error) {
      this.log.emit(Event.InternalError, { plugin: plugin.name, error: String(error) });
    }
  }
}
