/**
 * Compares concurrency limits in front of one simulated target in virtual time. The target has
 * slots, a queue and changing service times. Prints its table; see docs/design/overload-control.md.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ADAPTIVE_PARTS, createAdaptivePolicy } from '../policies/adaptive.js';
import type { GateAction, TargetGate, TargetGateOptions } from '../overload.js';
import { createRandom, type Random } from '../random.js';
import type { RequestContext } from '../request.js';
import { AimdLimit } from './aimd-limit.js';
import type { ConcurrencyLimit } from './concurrency-limit.js';
import { DeclaredLimit } from './declared-limit.js';
import { createFixedLimit } from './fixed-limit.js';
import { GradientLimit } from './gradient-limit.js';
import { ThroughputLimit } from './throughput-limit.js';

const SLOTS = 12;
const SERVICE_MS = 20;
const DEADLINE_MS = 800;
const END_MS = 8_000;
const SEEDS = [1, 2, 3];

interface Case {
  readonly name: string;
  /** Slots that the operator assumes. */
  readonly assumedSlots: number;
  /** Arrivals as a multiple of the capacity without slowdown. */
  readonly load: number;
  readonly slowdownAt: (now: number) => number;
  /** Queue in the target above which it refuses. */
  readonly refusesAbove?: number;
  /** Factor on the service time while the last slot is taken. */
  readonly slowdownWhenFull?: number;
  /** Share of the requests that the target refuses whatever its load. */
  readonly refusedShare?: number;
}

const LOW_LOAD = { assumedSlots: SLOTS, load: 0.8, slowdownAt: () => 1 };

const CASES: readonly Case[] = [
  { name: 'slots known', assumedSlots: SLOTS, load: 2, slowdownAt: () => 1 },
  { name: 'half the slots known', assumedSlots: SLOTS / 2, load: 2, slowdownAt: () => 1 },
  { name: 'twice the slots believed', assumedSlots: 2 * SLOTS, load: 2, slowdownAt: () => 1 },
  {
    name: 'five times slower from 3 s to 6 s',
    assumedSlots: SLOTS,
    load: 0.8,
    slowdownAt: (now) => (now >= 3_000 && now < 6_000 ? 5 : 1),
  },
  {
    name: 'cold for 4 s',
    assumedSlots: SLOTS,
    load: 1.5,
    slowdownAt: (now) => Math.max(1, 5 - now / 1_000),
  },
  {
    name: 'refuses, twice the slots believed',
    assumedSlots: 2 * SLOTS,
    load: 2,
    slowdownAt: () => 1,
    refusesAbove: 0,
  },
];

/** Targets that declare their slots but slow down or refuse below them. */
const DECLARED_CASES: readonly Case[] = [
  {
    name: 'slows down when full',
    assumedSlots: SLOTS,
    load: 1.5,
    slowdownAt: () => 1,
    slowdownWhenFull: 1.3,
  },
  { name: 'slows down when full, little load', ...LOW_LOAD, slowdownWhenFull: 1.3 },
  { name: 'does not slow down', assumedSlots: SLOTS, load: 1.5, slowdownAt: () => 1 },
  { name: 'refuses half whatever its load', ...LOW_LOAD, refusedShare: 0.5 },
];

const LIMITS: Readonly<Record<string, (options: TargetGateOptions) => ConcurrencyLimit>> = {
  fixed: ({ initialLimit }) => createFixedLimit(initialLimit),
  aimd: (options) => new AimdLimit(options),
  gradient: (options) => new GradientLimit(options),
  throughput: (options) => new ThroughputLimit(options),
  declared: ({ initialLimit }) => new DeclaredLimit(initialLimit),
};

interface TimedEvent {
  readonly at: number;
  readonly run: () => void;
}

/** One gate in front of one simulated target. */
class GateSimulation {
  private now = 0;
  private readonly events: TimedEvent[] = [];
  private readonly requests = new Map<number, RequestContext>();
  private readonly targetQueue: number[] = [];
  private running = 0;
  private tickets = 0;
  private inTime = 0;
  private readonly random: Random;
  private readonly gate: TargetGate;

  constructor(
    private readonly scenario: Case,
    createLimit: (options: TargetGateOptions) => ConcurrencyLimit,
    seed: number,
  ) {
    this.random = createRandom(seed);
    const policy = createAdaptivePolicy('bench', { ...ADAPTIVE_PARTS, createLimit });
    const options = { initialLimit: scenario.assumedSlots, maxLimit: 110, seed };
    this.gate = policy.createTargetGate(options);
  }

  /** Runs the simulation; returns the requests answered in time as a share of what the slots allow. */
  run(): number {
    this.scheduleArrival();
    while (this.events.length > 0 && this.events[0]!.at < END_MS) {
      const next = this.events.shift()!;
      this.now = next.at;
      next.run();
    }
    return this.inTime / this.bound();
  }

  private bound(): number {
    let bound = 0;
    for (let now = 0; now < END_MS; now += 1) {
      const capacity = SLOTS / (SERVICE_MS * this.scenario.slowdownAt(now));
      bound += Math.min(capacity, (this.scenario.load * SLOTS) / SERVICE_MS);
    }
    return bound;
  }

  private schedule(delay: number, run: () => void): void {
    const at = this.now + delay;
    const index = this.events.findIndex((event) => event.at > at);
    this.events.splice(index < 0 ? this.events.length : index, 0, { at, run });
  }

  private exponential(mean: number): number {
    return -Math.log(1 - this.random.next()) * mean;
  }

  private scheduleArrival(): void {
    const mean = SERVICE_MS / (this.scenario.load * SLOTS);
    this.schedule(this.exponential(mean), () => {
      this.arrive();
      this.scheduleArrival();
    });
  }

  private arrive(): void {
    this.tickets += 1;
    const request: RequestContext = {
      requestId: `r${this.tickets}`,
      tenant: 't',
      service: 's',
      kind: 'k',
      criticality: 'normal',
      deadline: this.now + DEADLINE_MS,
      idempotent: true,
      depth: 0,
    };
    this.requests.set(this.tickets, request);
    this.apply(this.gate.offer(this.now, this.tickets, request));
  }

  private apply(actions: readonly GateAction[]): void {
    for (const { type, ticket } of actions) {
      if (type === 'dispatch') this.reachTarget(ticket);
      else this.requests.delete(ticket);
    }
    const timer = this.gate.nextTimer();
    if (timer === undefined) return;
    this.schedule(Math.max(0, timer - this.now), () => {
      if (this.gate.nextTimer() === timer) this.apply(this.gate.onTimer(this.now));
    });
  }

  private reachTarget(ticket: number): void {
    const { refusesAbove = Infinity, refusedShare = 0 } = this.scenario;
    if (refusedShare > 0 && this.random.next() < refusedShare) this.refuse(ticket);
    else if (this.running < SLOTS) this.serve(ticket);
    else if (this.targetQueue.length < refusesAbove) this.targetQueue.push(ticket);
    else this.refuse(ticket);
  }

  private refuse(ticket: number): void {
    this.schedule(0.1, () => this.apply(this.gate.complete(this.now, ticket, 'overloaded')));
  }

  private serve(ticket: number): void {
    this.running += 1;
    const { slowdownAt, slowdownWhenFull = 1 } = this.scenario;
    const factor = this.running === SLOTS ? slowdownWhenFull : 1;
    const mean = SERVICE_MS * slowdownAt(this.now) * factor;
    // Half fixed, half exponential: a coefficient of variation of one half.
    this.schedule(mean / 2 + this.exponential(mean / 2), () => {
      this.running -= 1;
      const next = this.targetQueue.shift();
      if (next !== undefined) this.serve(next);
      if (this.now <= this.requests.get(ticket)!.deadline) this.inTime += 1;
      this.requests.delete(ticket);
      this.apply(this.gate.complete(this.now, ticket, 'success'));
    });
  }
}

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]!;
}

const table = new Map(
  [...CASES, ...DECLARED_CASES].map((scenario) => [
    scenario.name,
    Object.fromEntries(
      Object.entries(LIMITS).map(([name, createLimit]) => [
        name,
        median(SEEDS.map((seed) => new GateSimulation(scenario, createLimit, seed).run())),
      ]),
    ),
  ]),
);

test('the throughput limit gives at least 95% of the capacity unless too few slots are assumed', (t) => {
  for (const [name, ratios] of table) {
    t.diagnostic(`${name}: ${JSON.stringify(ratios, (_, value: unknown) => round(value))}`);
  }
  for (const { name } of CASES.filter((scenario) => scenario.assumedSlots >= SLOTS)) {
    assert.ok(table.get(name)!['throughput']! >= 0.95, name);
  }
});

test('the throughput limit finds slots that the operator did not know of', () => {
  assert.ok(table.get('half the slots known')!['throughput']! >= 0.85);
});

test('the declared limit goes below the slots when the target then answers more', () => {
  const { fixed, declared } = table.get('slows down when full')!;
  assert.ok(declared! >= 1.1 * fixed!, `${declared} against ${fixed}`);
  for (const name of ['does not slow down', 'slows down when full, little load']) {
    const ratios = table.get(name)!;
    assert.ok(ratios['declared']! >= 0.97 * ratios['fixed']!, name);
  }
});

test('refusals that do not depend on the load do not lower the limit', () => {
  const { fixed, declared } = table.get('refuses half whatever its load')!;
  assert.ok(declared! >= 0.97 * fixed!, `${declared} against ${fixed}`);
  assert.ok(table.get('refuses, twice the slots believed')!['declared']! >= 0.95);
});

function round(value: unknown): unknown {
  return typeof value === 'number' ? Number(value.toFixed(3)) : value;
}
