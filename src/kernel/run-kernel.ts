/** Runs a kernel in this process until a signal stops it. */
import type { Clock } from './clock.js';
import { Event } from './event.js';
import type { Kernel } from './kernel.js';
import { Token } from './token.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
type StopSignal = (typeof STOP_SIGNALS)[number];

/** Where signals come from: the process, or a test's own source. */
export interface SignalSource {
  on(signal: string, listener: () => void): unknown;
  off(signal: string, listener: () => void): unknown;
}

/** How a run ended. */
export type NodeEnd = 'stopped' | 'start-failed' | 'cut-short';

/**
 * Starts a kernel and waits for its end. The first SIGTERM or SIGINT, or a stop that the kernel was
 * asked for, starts a planned stop. Whatever the first was, SIGTERM changes nothing after it:
 * supervisors repeat it, and requests are still under way. SIGINT, which a person at a terminal
 * sends, stops at once then.
 *
 * @param stopTimeoutMs bound of a planned stop from its signal on, in milliseconds; asked for when
 * the stop begins
 */
export async function runKernel(
  kernel: Kernel,
  stopTimeoutMs: () => number,
  signals: SignalSource = process,
): Promise<NodeEnd> {
  const log = kernel.container.get(Token.EventLog);
  const stops = new StopSignals(signals, kernel.container.get(Token.Clock));
  try {
    await kernel.start();
    await Promise.race([stops.first, kernel.stopRequested]);
    return await stopAsPlanned(kernel, stopTimeoutMs(), stops);
  } catch (error) {
    log.emit(Event.InternalError, { error: String(error) });
    return 'start-failed';
  } finally {
    stops.close();
  }
}

async function stopAsPlanned(
  kernel: Kernel,
  timeoutMs: number,
  stops: StopSignals,
): Promise<NodeEnd> {
  const log = kernel.container.get(Token.EventLog);
  const interrupted = new Promise<NodeEnd>((resolve) => {
    stops.onRepeated = (signal) => {
      const isUrgent = signal === 'SIGINT';
      const effect = isUrgent ? 'planned stop cut short' : 'none';
      log.emit(Event.StopSignalRepeated, { signal, effect });
      if (isUrgent) void kernel.stop().then(() => resolve('cut-short'));
    };
  });
  const planned = kernel
    .drainAndStop(timeoutMs - stops.sinceFirstMs)
    .then((complete): NodeEnd => (complete ? 'stopped' : 'cut-short'));
  return await Promise.race([planned, interrupted]);
}

/** Stop signals from the start of the run on, so that one that came during the start counts. */
class StopSignals {
  /** Settles at the first signal. */
  readonly first: Promise<void>;
  /** Told of each signal that comes while the node stops. */
  onRepeated: ((signal: StopSignal) => void) | undefined;
  private firstAt: number | undefined;
  private readonly listeners: ReadonlyMap<StopSignal, () => void>;

  constructor(
    private readonly source: SignalSource,
    private readonly clock: Clock,
  ) {
    let resolveFirst: () => void = () => {};
    this.first = new Promise((resolve) => (resolveFirst = resolve));
    const onSignal = (signal: StopSignal): void => {
      if (this.onRepeated !== undefined) {
        this.onRepeated(signal);
        return;
      }
      this.firstAt ??= clock.now();
      resolveFirst();
    };
    this.listeners = new Map(STOP_SIGNALS.map((signal) => [signal, () => onSignal(signal)]));
    for (const [signal, listener] of this.listeners) source.on(signal, listener);
  }

  /** Time since the first signal, which may have come during the start; 0 without one. */
  get sinceFirstMs(): number {
    return this.firstAt === undefined ? 0 : this.clock.now() - this.firstAt;
  }

  close(): void {
    for (const [signal, listener] of this.listeners) this.source.off(signal, listener);
  }
}
