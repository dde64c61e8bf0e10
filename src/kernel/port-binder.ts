/**
 * Binds listening sockets. A port can be taken for a moment when a process starts: by a predecessor that is still
 * closing, or by an outgoing connection that was given the number. So it is tried again for a bounded time; without
 * a bound, a second process with the settings of a running one would wait unnoticed.
 */
import type { AddressInfo, Server } from 'node:net';
import type { Clock } from './clock.js';
import { Event, type EventLog } from './event.js';
import { pause } from './pause.js';

/** Time for which a taken port is tried again by default, in milliseconds. */
export const DEFAULT_BIND_TIMEOUT_MS = 120_000;
const RETRY_INTERVAL_MS = 250;
/** Errors that pass by themselves: the port is taken, or the address is not configured yet. */
const TEMPORARY_ERRORS: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

export interface PortBinderOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /** Time for which a taken port is tried again, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether the process stops, so that no port is needed any more. */
  isStopping(): boolean;
}

/** Binds the ports of a process. */
export class PortBinder {
  private readonly attempts = new Map<string, number>();

  constructor(private readonly options: PortBinderOptions) {}

  /** Failed attempts to bind, by the name of the port. */
  get failedAttempts(): ReadonlyMap<string, number> {
    return this.attempts;
  }

  /**
   * Calls `listen` until it resolves. Rejects with its last error when the time is over, when the process stops or
   * when the error does not pass by itself.
   *
   * @param name of the port in the log and the metrics
   */
  async bind<T>(name: string, listen: () => Promise<T>): Promise<T> {
    const { clock, log, timeoutMs, isStopping } = this.options;
    const startedAt = clock.now();
    for (let failed = 0; ; failed += 1) {
      try {
        const bound = await listen();
        const waitedMs = Math.round(clock.now() - startedAt);
        if (failed > 0) log.emit(Event.PortBound, { port: name, waitedMs });
        return bound;
      } catch (error) {
        const { code, message } = error as NodeJS.ErrnoException;
        this.attempts.set(name, (this.attempts.get(name) ?? 0) + 1);
        const isOver = clock.now() - startedAt >= timeoutMs;
        if (!TEMPORARY_ERRORS.has(code) || isOver || isStopping()) throw error;
        if (failed === 0) log.emit(Event.PortTaken, { port: name, error: message, timeoutMs });
      }
      await pause(clock, RETRY_INTERVAL_MS);
    }
  }
}

/**
 * Listens once; rejects when the address cannot be bound, and may be called again then.
 *
 * @returns the port
 */
export function listenOn(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    const onListening = (): void => {
      server.off('error', onError);
      // A connection that cannot be accepted must not end the process.
      server.on('error', (error) => {
        process.emitWarning(error);
      });
      resolve((server.address() as AddressInfo).port);
    };
    const onError = (error: Error): void => {
      server.off('listening', onListening);
      reject(error);
    };
    server.once('listening', onListening).once('error', onError).listen(port, host);
  });
}
