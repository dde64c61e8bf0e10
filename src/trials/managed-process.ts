/** One process of a deployment under test: output, signals and its end. */
import { spawn, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** The whole command line. */
const PROGRAM = fileURLToPath(new URL('../cli/main.js', import.meta.url));
/** The program of machines that stand beside one target: the `sidecar` command alone. */
export const SIDECAR_PROGRAM = fileURLToPath(new URL('../cli/sidecar-main.js', import.meta.url));
/** Output kept of each stream, in characters; older text is dropped. */
const KEPT_OUTPUT = 4_000_000;
/** Exit code of a process that a signal ended. */
const EXIT_SIGNALLED = 130;

const running = new Set<ChildProcess>();

// Whatever ends this process, nothing that it started is left behind.
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});
// A signal ends a process without its exit event; the test runner ends files that hang by one.
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => process.exit(EXIT_SIGNALLED));
}

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A running `sillshore` command. */
export class ManagedProcess {
  private readonly child: ChildProcess;
  private output = '';
  private errors = '';
  private end: ProcessEnd | undefined;
  private readonly watchers = new Set<() => void>();
  /** Settles when the process has ended. */
  readonly ended: Promise<ProcessEnd>;

  constructor(
    readonly name: string,
    readonly args: readonly string[],
    program = PROGRAM,
  ) {
    this.child = spawn(process.execPath, [program, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
    this.child.stdout!.setEncoding('utf8').on('data', (text: string) => {
      this.output = (this.output + text).slice(-KEPT_OUTPUT * 16);
      this.notify();
    });
    this.child.stderr!.setEncoding('utf8').on('data', (text: string) => {
      this.errors = (this.errors + text).slice(-KEPT_OUTPUT);
    });
    running.add(this.child);
    this.ended = new Promise((resolve) => {
      this.child.once('close', (code, signal) => {
        running.delete(this.child);
        this.end = { code, signal };
        resolve(this.end);
        this.notify();
      });
    });
  }

  get running(): boolean {
    return this.end === undefined;
  }

  get stdout(): string {
    return this.output;
  }

  get stderr(): string {
    return this.errors;
  }

  signal(signal: NodeJS.Signals): void {
    if (this.running) this.child.kill(signal);
  }

  /** Waits for the first complete line of output; rejects when the process ends before it. */
  async firstLine(timeoutMs: number): Promise<string> {
    await this.waitFor(() => this.output.includes('\n'), timeoutMs);
    return this.output.slice(0, this.output.indexOf('\n'));
  }

  /** Ends the process with a signal and, when it takes too long, by SIGKILL. */
  async stop(signal: NodeJS.Signals = 'SIGTERM', timeoutMs = 10_000): Promise<ProcessEnd> {
    // A stopped process acts on no signal but SIGCONT and SIGKILL.
    this.signal('SIGCONT');
    this.signal(signal);
    const timer = setTimeout(() => {
      this.signal('SIGKILL');
    }, timeoutMs);
    const end = await this.ended;
    clearTimeout(timer);
    return end;
  }

  private async waitFor(condition: () => boolean, timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const describe = (what: string): Error =>
        new Error(`${this.name} ${what}\n${this.output.slice(-2_000)}${this.errors.slice(-4_000)}`);
      const settle = (action: () => void): void => {
        clearTimeout(timer);
        this.watchers.delete(check);
        action();
      };
      const check = (): void => {
        if (condition()) settle(resolve);
        else if (!this.running)
          settle(() => {
            reject(describe('ended too early'));
          });
      };
      const timer = setTimeout(() => {
        settle(() => {
          reject(describe(`was not ready within ${timeoutMs} ms`));
        });
      }, timeoutMs);
      this.watchers.add(check);
      check();
    });
  }

  private notify(): void {
    for (const watcher of [...this.watchers]) watcher();
  }
}
