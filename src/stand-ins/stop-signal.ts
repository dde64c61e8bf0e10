/** Start and stop of a stand-in's process: its ready line and its stop signals. */

/** Line that a stand-in writes to standard output as soon as it listens. */
export interface ReadyLine {
  readonly ready: true;
  readonly address: string;
  /** Address of the control endpoint, if it differs from `address`. */
  readonly control?: string;
}

/** Resolves on SIGTERM or SIGINT. */
export function waitForStopSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGTERM', () => {
      resolve();
    });
    process.once('SIGINT', () => {
      resolve();
    });
  });
}
