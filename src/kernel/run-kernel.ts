/** Runs a kernel in this process until a signal stops it. */
import type { Clock } from './clock.js';
import { Event } from './event.js';
import type { Kernel } from './kernel.js';
import { Token } from './token.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
type StopSignal = (typeof STOP_SIGNALS)[number];

/** Source of signals: the process, or an emitter of a test. */
export interface SignalSource {
  on(signal: string, listener: () => void): unknown;
  off(signal: string, listener: () => void): unknown;
}

/** How a run ended; `cut-short` is a planned stop that did not complete. */
export type RunOutcome = 'stopped' | 'start-failed' | 'cut-short';

/**
 * Starts a kernel and waits until it has stopped. The first SIGTERM or SIGINT, or a stop requested
 * of the kernel, starts a planned stop. A SIGTERM during the stop is ignored, because supervisors
 * send it repeatedly while requests are still in progress. A SIGINT during the stop, which a person
 * at a terminal sends, stops the kernel at once.
 *
 * @param stopTimeoutMs returns the time limit of a planned stop, counted from its signal, in
 * milliseconds; called when the stop begins
 */
export async function runKernel(
  kernel: Kernel,
  stopTimeoutMs: () => number,
  signals: SignalSource = process,
): Promise<RunOutcome> {
  const log = kernel.container.get(Token.EventLog);
  const stops = new StopSignals(signals, kernel.container.get(Token.Clock));
  // Also ends the wait of a start for a port that is taken.
  void stops.first.then(() => {
    kernel.requestStop();
  });
  try {
    await kernel.start();
    await Promise.race([stops.first, kernel.stopRequested]);
    return await runPlannedStop(kernel, stopTimeoutMs(), stops);
  } catch (error) {
    log.emit(Event.InternalError, { error: String(error) });
    return stops.wasSignalled ? 'stopped' : 'start-failed';
  } finally {
    stops.close();
  }
}

async function runPlannedStop(
  kernel: Kernel,
  timeoutMs: number,
  stops: StopSignals,
): Promise<RunOutcome> {
  const log = kernel.container.get(Token.EventLog);
  const interrupted = new Promise<RunOutcome>((resolve) => {
    stops.onRepeated = (signal) => {
      const isInterrupt = signal === 'SIGINT';
      const effect = isInterrupt ? 'planned stop cut short' : 'none';
      log.emit(Event.StopSignalRepeated, { signal, effect });
      if (isInterrupt) void kernel.stop().then(() => resolve('cut-short'));
    };
  });
  const planned = kernel
    .drainAndStop(timeoutMs - stops.sinceFirstMs)
    .then((complete): RunOutcome => (complete ? 'stopped' : 'cut-short'));
  return await Promise.race([planned, interrupted]);
}

/** Listens for stop signals from the start of the run on, so that none is lost during the start. */
class StopSignals {
  /** Resolves at the first signal. */
  readonly first: Promise<void>;
  /** Called at each signal that arrives during the planned stop. */
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

  get wasSignalled(): boolean {
    return this.firstAt !== undefined;
  }

  /** Time since the first signal, which may have arrived during the start; 0 without one. */
  get sinceFirstMs(): number {
    return this.firstAt === undefined ? 0 : this.clock.now() - this.firstAt;
  }

  close(): void {
    for (const [signal, listener] of this.listeners) this.source.off(signal, listener);
  }
}
