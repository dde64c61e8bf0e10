/** One process of a deployment under test: its output, signals and exit. */
import { spawn, type ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';

/** The program with all commands. */
const PROGRAM = fileURLToPath(new URL('../cli/main.js', import.meta.url));
/** The program with the `sidecar` command alone, for machines that run next to one target. */
export const SIDECAR_PROGRAM = fileURLToPath(new URL('../cli/sidecar-main.js', import.meta.url));
/** Last characters kept of standard error; of standard output, 16 times as many are kept. */
const MAX_OUTPUT_CHARACTERS = 4_000_000;
/** Exit code after a signal. */
const EXIT_SIGNALLED = 130;

const running = new Set<ChildProcess>();

// Kills the child processes when this process exits.
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});
// By default a signal terminates a process without its `exit` event. The test runner sends one to
// test files that hang.
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => process.exit(EXIT_SIGNALLED));
}

/** How a process exited. */
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
  /** Resolves when the process has exited and its output is complete. */
  readonly ended: Promise<ProcessEnd>;

  constructor(
    readonly name: string,
    readonly args: readonly string[],
    program = PROGRAM,
    runtimeFlags: readonly string[] = [],
    /** Descriptor of this process that becomes the standard output; by default the output is kept. */
    standardOutput: number | 'pipe' = 'pipe',
  ) {
    const command = [...runtimeFlags, program, ...args];
    this.child = spawn(process.execPath, command, { stdio: ['ignore', standardOutput, 'pipe'] });
    this.child.stdout?.setEncoding('utf8').on('data', (text: string) => {
      this.output = (this.output + text).slice(-MAX_OUTPUT_CHARACTERS * 16);
      this.notify();
    });
    this.child.stderr!.setEncoding('utf8').on('data', (text: string) => {
      this.errors = (this.errors + text).slice(-MAX_OUTPUT_CHARACTERS);
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

  /** Process id. */
  get id(): number {
    return this.child.pid ?? 0;
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

  /** Waits for the first complete line of output; rejects when the process exits before. */
  async firstLine(timeoutMs: number): Promise<string> {
    await this.waitFor(() => this.output.includes('\n'), timeoutMs);
    return this.output.slice(0, this.output.indexOf('\n'));
  }

  /** Stops the process with a signal, and with SIGKILL when it has not exited in time. */
  async stop(signal: NodeJS.Signals = 'SIGTERM', timeoutMs = 10_000): Promise<ProcessEnd> {
    // A suspended process handles no signal but SIGCONT and SIGKILL.
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
            reject(describe('exited too early'));
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
