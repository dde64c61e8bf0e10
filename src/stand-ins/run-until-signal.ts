/** Life of a stand-in's process: announces its address and runs until it is told to stop. */

/** Line that a stand-in writes to standard output once it listens. */
export interface ReadyLine {
  readonly ready: true;
  readonly address: string;
  /** Address of the control endpoint, when it is another one. */
  readonly control?: string;
}

/** Settles at SIGTERM or SIGINT. */
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
