/** Faults of the platform stand-in, switched through its control endpoint while it runs. */
import { z } from 'zod';
import { createRandom, type Random } from '../../core/random.js';
import { MAX_LAG_MS } from './machine-list.js';

const count = z.int().min(0).max(1_000_000_000);
const milliseconds = z.int().min(0).max(600_000);

/** `refuse` closes the port, `reset` closes each connection, `hang` never answers. */
const outage = z.enum(['none', 'refuse', 'reset', 'hang']);

const machineSchema = z.strictObject({
  id: z.string().min(1),
  role: z.enum(['node', 'target']),
  state: z.enum(['live', 'leaving']),
  address: z.string().min(1),
  zone: z.string().min(1),
});

/** Fault settings; the control endpoint accepts any subset. */
export const faultsSchema = z.strictObject({
  /** Outage of the key-value service; `refuse` also takes the list of machines down. */
  outage: outage.default('none'),
  /** Outage of the list of machines. */
  machinesOutage: outage.exclude(['refuse']).default('none'),
  /** Delay of each exchange. */
  delayMs: milliseconds.default(0),
  /** Upper bound of a random addition to `delayMs`. */
  delayJitterMs: milliseconds.default(0),
  /** Requests per second to the key-value service, with a burst of one second; 0 is no limit. */
  requestsPerSecond: count.default(0),
  /** Number of next writes whose answers are lost after they have taken effect. */
  loseNextAnswers: count.default(0),
  /** Loses the answer to every n-th write; 0 loses none. */
  loseEveryNthAnswer: count.default(0),
  /** How a lost answer appears to the client. */
  lostAnswer: z.enum(['reset', 'hang', 'truncate']).default('reset'),
  /** Number of next answers of the key-value service that are not JSON. */
  garbageNextAnswers: count.default(0),
  /** Number of next watch events whose stream is cut in the middle of the line. */
  truncateNextEvents: count.default(0),
  /** Age of the list of machines that is served. */
  machineListLagMs: z.int().min(0).max(MAX_LAG_MS).default(0),
});

/** Validated fault settings. */
export type Faults = z.infer<typeof faultsSchema>;

/** Body of a control request: fault settings to change, and actions. */
export const controlSchema = faultsSchema
  .partial()
  .extend({
    /** Replaces the list of machines; readers see it after the lag. */
    machines: z.array(machineSchema).max(10_000).optional(),
    /** Drops the history up to the current revision; new watches from before it are cancelled. */
    compact: z.boolean().optional(),
    /** Cuts all watch streams. */
    cutWatches: z.boolean().optional(),
  })
  .strict();

/** A control request. */
export type ControlRequest = z.input<typeof controlSchema>;

/** What happens to the answer of one exchange. */
export type AnswerOutcome = 'send' | 'garbage' | Faults['lostAnswer'];

/** Decides the outcome of each exchange; the same seed and requests give the same outcomes. */
export class FaultInjector {
  faults: Faults;
  private readonly random: Random;
  private writes = 0;
  private tokens = 0;
  private refilledAt = Number.NEGATIVE_INFINITY;

  constructor(seed: number, initial: Partial<Faults> = {}) {
    this.random = createRandom(seed);
    this.faults = faultsSchema.parse(initial);
  }

  /** Changes the given members only. */
  change(changes: Partial<Faults>): void {
    this.faults = { ...this.faults, ...changes };
  }

  /** Takes one token of the rate limit; returns false if the request is to be refused. */
  takeToken(now: number): boolean {
    const limit = this.faults.requestsPerSecond;
    if (limit === 0) return true;
    const refill = ((now - this.refilledAt) / 1000) * limit;
    this.tokens = Math.min(limit, this.tokens + refill);
    this.refilledAt = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  /** Delay of the next exchange in milliseconds. */
  nextDelay(): number {
    return this.faults.delayMs + this.random.next() * this.faults.delayJitterMs;
  }

  /** Outcome of the answer to a request that has been executed. */
  nextOutcome(isWrite: boolean): AnswerOutcome {
    if (this.take('garbageNextAnswers')) return 'garbage';
    if (!isWrite) return 'send';
    this.writes += 1;
    const { loseEveryNthAnswer, lostAnswer } = this.faults;
    const isNth = loseEveryNthAnswer > 0 && this.writes % loseEveryNthAnswer === 0;
    return this.take('loseNextAnswers') || isNth ? lostAnswer : 'send';
  }

  /** Returns whether the next watch event is to be truncated. */
  takeTruncation(): boolean {
    return this.take('truncateNextEvents');
  }

  private take(name: 'garbageNextAnswers' | 'loseNextAnswers' | 'truncateNextEvents'): boolean {
    if (this.faults[name] === 0) return false;
    this.change({ [name]: this.faults[name] - 1 });
    return true;
  }
}
