/** Runs a kernel in this process until a signal stops it. */
import { Event } from './event.js';
import type { Kernel } from './kernel.js';
import { Token } from './token.js';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Where signals come from: the process, or a test's own source. */
export interface SignalSource {
  on(signal: string, listener: () => void): unknown;
  off(signal: string, listener: () => void): unknown;
}

/** How a run ended. */
export type NodeEnd = 'stopped' | 'start-failed' | 'cut-short';

/**
 * Starts a kernel and waits for its end; the first SIGTERM or SIGINT, or a stop that the
 * kernel was asked for, starts a planned stop; a signal after that stops at once.
 *
 * @param stopTimeoutMs bound of a planned stop, in milliseconds
 */
export async function runKernel(
  kernel: Kernel,
  stopTimeoutMs: number,
  signals: SignalSource = process,
): Promise<NodeEnd> {
  const log = kernel.container.get(Token.EventLog);
  const stops = new SignalQueue(signals);
  try {
    await kernel.start();
    await Promise.race([stops.next(), kernel.stopRequested]);
    return await stopAsPlanned(kernel, stopTimeoutMs, stops);
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
  stops: SignalQueue,
): Promise<NodeEnd> {
  const log = kernel.container.get(Token.EventLog);
  const secondSignal = stops.next().then(async (): Promise<NodeEnd> => {
    log.emit(Event.StopSignalRepeated, { effect: 'planned stop cut short' });
    await kernel.stop();
    return 'cut-short';
  });
  const planned = kernel
    .drainAndStop(timeoutMs)
    .then((complete): NodeEnd => (complete ? 'stopped' : 'cut-short'));
  return await Promise.race([planned, secondSignal]);
}

/** Counts stop signals, so that one that came during the start is not lost. */
class SignalQueue {
  private waiting = 0;
  private wake: (() => void) | undefined;
  private readonly listener = (): void => {
    this.waiting += 1;
    this.wake?.();
  };

  constructor(private readonly source: SignalSource) {
    for (const signal of STOP_SIGNALS) source.on(signal, this.listener);
  }

  /** Waits for the next stop signal. */
  async next(): Promise<void> {
    if (this.waiting === 0) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    this.waiting -= 1;
  }

  close(): void {
    for (const signal of STOP_SIGNALS) this.source.off(signal, this.listener);
  }
}
