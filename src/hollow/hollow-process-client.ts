/** Starts and drives one process of hollow nodes over its standard streams. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { HollowReport } from './hollow-nodes.js';
import type { HollowCommand, HollowMessage } from './hollow-process.js';

const PROGRAM = fileURLToPath(new URL('../cli/main.js', import.meta.url));
/** A process that has not ended this long after its stop is killed, in milliseconds. */
const STOP_LIMIT_MS = 10_000;

/** One process of hollow nodes, driven over its standard streams. */
export class HollowProcess {
  private readonly child: ChildProcess;
  private readonly reports: ((report: HollowReport) => void)[] = [];
  private onStarted: () => void = () => {};
  readonly started: Promise<void>;

  constructor(args: readonly string[], onVersion: (version: number, atMs: number) => void) {
    const stdio = ['pipe', 'pipe', 'inherit'] as const;
    this.child = spawn(process.execPath, [PROGRAM, 'emulate', 'nodes', ...args], {
      stdio: [...stdio],
    });
    this.started = new Promise((resolve, reject) => {
      this.onStarted = resolve;
      this.child.once('exit', () => {
        reject(new Error('a process of hollow nodes ended too early'));
      });
    });
    createInterface({ input: this.child.stdout! }).on('line', (line) => {
      // Anything else is the report of a crash, which also goes to the standard error below.
      if (!line.startsWith('{')) {
        process.stderr.write(`${line}\n`);
        return;
      }
      const message = JSON.parse(line) as HollowMessage;
      if (message.type === 'started') this.onStarted();
      else if (message.type === 'report') this.reports.shift()?.(message.report);
      else onVersion(message.version, message.atMs);
    });
  }

  ask(command: HollowCommand): Promise<HollowReport> {
    return new Promise((resolve) => {
      this.reports.push(resolve);
      this.send(command);
    });
  }

  async stop(): Promise<void> {
    if (this.child.exitCode !== null) return;
    const ended = new Promise((resolve) => this.child.once('exit', resolve));
    this.send({ type: 'stop' });
    const timer = setTimeout(() => this.child.kill('SIGKILL'), STOP_LIMIT_MS);
    await ended;
    clearTimeout(timer);
  }

  private send(command: HollowCommand): void {
    this.child.stdin!.write(`${JSON.stringify(command)}\n`);
  }
}
