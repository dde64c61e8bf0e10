/** Callers of a soak run: each uses a connection until it has closed, then opens another. */
import { setTimeout as sleep } from 'node:timers/promises';
import { hash32 } from '../../src/core/hash.js';
import { createRandom, type Random } from '../../src/core/random.js';
import type { ProcessMachine } from '../support/process-mesh.js';
import { RawCaller, type CallerRecord, type RawRequest } from '../support/raw-caller.js';
import type { Ledger } from './ledger.js';

const DEADLINE_MS = 3_000;
const MAX_PAUSE_MS = 80;
const MAX_RECONNECT_MS = 200;
const MAX_PIPELINED = 3;
/** Shares of a caller's steps. */
const SHARE_PIPELINED = 0.15;
const SHARE_DISCONNECTING = 0.04;
/** Shares of the routes; the rest is `/read/`. */
const SHARE_WRITE = 0.35;
const SHARE_MOVED = 0.2;
const SHARE_CHAIN = 0.1;
/** Work of a request: mostly short, a few long. */
const SHARE_LONG_WORK = 0.08;
const MAX_WORK_MS = 120;
const MAX_LONG_WORK_MS = 1_800;

export interface SoakCallerOptions {
  readonly name: string;
  readonly seed: number;
  readonly machine: ProcessMachine;
  readonly ledger: Ledger;
  /** Whether it connects over the relay, and so is subject to the relay's faults. */
  readonly relayed: boolean;
  /** Absent: requests need no key. */
  readonly apiKey?: string | undefined;
}

/** One caller; after `stop` it ends with its last request. */
export class SoakCaller {
  private readonly random: Random;
  private stopped = false;
  private count = 0;

  constructor(private readonly options: SoakCallerOptions) {
    this.random = createRandom(hash32(`caller ${options.seed} ${options.name}`));
  }

  stop(): void {
    this.stopped = true;
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      const { machine, relayed } = this.options;
      const connection = new RawCaller(relayed ? machine.callerAddress : machine.entry);
      while (!this.stopped && !connection.isEnded) await this.step(connection);
      connection.close();
      await sleep(this.random.nextInt(MAX_RECONNECT_MS));
    }
  }

  private async step(connection: RawCaller): Promise<void> {
    const dice = this.random.next();
    if (dice < SHARE_PIPELINED) await this.sendPipelined(connection);
    else if (dice < SHARE_PIPELINED + SHARE_DISCONNECTING) await this.sendAndDisconnect(connection);
    else this.addToLedger(await connection.send(this.drawRequest()), 0);
    await sleep(this.random.nextInt(MAX_PAUSE_MS));
  }

  /** Sends some idempotent requests before the first is answered. */
  private async sendPipelined(connection: RawCaller): Promise<void> {
    const count = 2 + this.random.nextInt(MAX_PIPELINED - 1);
    const records = Array.from({ length: count }, () =>
      connection.send(this.drawRequest('/read/')),
    );
    for (const [index, record] of (await Promise.all(records)).entries())
      this.addToLedger(record, index);
  }

  private async sendAndDisconnect(connection: RawCaller): Promise<void> {
    const record = connection.send(this.drawRequest('/read/'));
    await sleep(this.random.nextInt(MAX_WORK_MS));
    const disconnectedAt = performance.now();
    connection.close();
    this.addToLedger(await record, 0, disconnectedAt);
  }

  private drawRequest(route = this.drawRoute()): RawRequest {
    this.count += 1;
    const { apiKey } = this.options;
    const isLong = this.random.next() < SHARE_LONG_WORK;
    const workMs = this.random.nextInt(isLong ? MAX_LONG_WORK_MS : MAX_WORK_MS);
    return {
      attemptId: `${this.options.name}-${this.count}`,
      method: route === '/write/' ? 'POST' : 'GET',
      path: `${route}${workMs}`,
      deadlineMs: DEADLINE_MS,
      ...(route === '/write/' ? { body: 'entry' } : {}),
      ...(apiKey === undefined ? {} : { apiKey }),
    };
  }

  private drawRoute(): string {
    const dice = this.random.next();
    if (dice < SHARE_WRITE) return '/write/';
    if (dice < SHARE_WRITE + SHARE_MOVED) return '/moved/';
    return dice < SHARE_WRITE + SHARE_MOVED + SHARE_CHAIN ? '/chain/' : '/read/';
  }

  private addToLedger(
    record: CallerRecord,
    outstandingBefore: number,
    disconnectedAt?: number,
  ): void {
    const { machine, relayed, ledger } = this.options;
    const wasAnswered = record.outcome.type === 'answered';
    const disconnectedBeforeAnswerAt = wasAnswered ? undefined : disconnectedAt;
    ledger.requests.push({
      ...record,
      relayed,
      ...{
        machine: machine.id,
        outstandingBefore,
        deadlineMs: DEADLINE_MS,
        disconnectedAt: disconnectedBeforeAnswerAt,
      },
    });
  }
}
