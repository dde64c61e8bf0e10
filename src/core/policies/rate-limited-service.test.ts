/** Routers and gates of one service whose targets state request limits, under load in virtual time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { GateAction, ServiceRouter, TargetGate } from '../overload.js';
import { createRandom } from '../random.js';
import type { AttemptOutcome, Criticality, RequestContext } from '../request.js';
import { ResultCode } from '../result-code.js';
import { ADAPTIVE_PARTS, createAdaptivePolicy } from './adaptive.js';

const WORK_MS = 40;
const SLOTS = 30;
const WINDOW_MS = 4_000;
const MAX_TRIES = 3;
const AIM_MS = 1_000;
const DEADLINE_MS = 5_000;
const MS_PER_SECOND = 1_000;
/** Time after a change for which the use of the limits is not measured, in milliseconds. */
const SETTLING_MS = 5_000;

/** Requests a second that a target states at a time; undefined: no limit. */
type LimitAt = (now: number) => number | undefined;

interface ServiceOptions {
  readonly entries: number;
  /** Limit of each target. */
  readonly limits: readonly LimitAt[];
  /** Requests a second at all entries together. */
  readonly perSecond: number;
  readonly forMs: number;
  readonly criticalities?: readonly Criticality[];
}

interface Pending {
  readonly request: RequestContext;
  readonly router: ServiceRouter;
  readonly tried: string[];
  readonly gate: number;
}

/** A served or refused request of a caller. */
interface CallerEnd {
  readonly at: number;
  readonly criticality: Criticality;
  /** Undefined: it was served. */
  readonly code: ResultCode | undefined;
}

class ServiceSimulation {
  readonly ends: CallerEnd[] = [];
  /** Times at which requests started, by target. */
  readonly starts: readonly number[][];
  /** Attempts that gates refused for a stated limit. */
  refusedAttempts = 0;
  private now = 0;
  private lastTicket = 0;
  private readonly random = createRandom(41);
  private readonly gates: readonly TargetGate[];
  private readonly routers: readonly ServiceRouter[];
  private readonly pending = new Map<number, Pending>();
  private readonly running: { ticket: number; sentAt: number; endAt: number }[] = [];

  constructor(private readonly options: ServiceOptions) {
    const policy = createAdaptivePolicy('under-test', ADAPTIVE_PARTS);
    const { limits, entries } = options;
    this.starts = limits.map(() => []);
    this.gates = limits.map(() =>
      policy.createTargetGate({ initialLimit: SLOTS, maxLimit: SLOTS, seed: 1 }),
    );
    const views = limits.map((_, index) => ({
      ...{ id: String(index), zone: 'z', region: 'r', eligible: true },
    }));
    this.routers = Array.from({ length: entries }, (_, index) => {
      const locality = { localZone: 'z', localRegion: 'r' };
      const router = policy.createServiceRouter({ service: 's', ...locality, seed: index });
      router.updateTargets(0, views);
      return router;
    });
  }

  run(): this {
    const { perSecond, forMs } = this.options;
    let nextArrival = 0;
    for (; this.now < forMs; this.now += 1) {
      this.endRuns();
      this.gates.forEach((gate, index) => {
        const timer = gate.nextTimer();
        if (timer !== undefined && timer <= this.now) this.apply(index, gate.onTimer(this.now));
      });
      for (; nextArrival <= this.now; nextArrival += this.gapMs(perSecond)) this.arrive();
    }
    return this;
  }

  /** Most starts at a target in a window. */
  worstWindow(target: number, from = 0): number {
    const starts = this.starts[target]!.filter((at) => at >= from);
    return Math.max(
      0,
      ...starts.map((at) => starts.filter((one) => one > at - WINDOW_MS && one <= at).length),
    );
  }

  /** Starts a second at a target in a span. */
  rateAt(target: number, from: number, to: number): number {
    const count = this.starts[target]!.filter((at) => at >= from && at < to).length;
    return (count * MS_PER_SECOND) / (to - from);
  }

  /** Share of the requests of a class that were served. */
  shareServed(criticality: Criticality, from = 0): number {
    const ends = this.ends.filter((end) => end.criticality === criticality && end.at >= from);
    return ends.filter(({ code }) => code === undefined).length / ends.length;
  }

  private gapMs(perSecond: number): number {
    return (-Math.log(1 - this.random.next()) * MS_PER_SECOND) / perSecond;
  }

  private arrive(): void {
    this.lastTicket += 1;
    const { criticalities = ['normal'], entries } = this.options;
    const criticality = criticalities[this.random.nextInt(criticalities.length)]!;
    const router = this.routers[this.random.nextInt(entries)]!;
    const request: RequestContext = {
      ...{ requestId: `r${this.lastTicket}`, tenant: '', service: 's', kind: 'k', criticality },
      ...{ deadline: this.now + DEADLINE_MS, dueAt: this.now + AIM_MS },
      ...{ idempotent: true, depth: 0 },
    };
    const refusal = router.admit(this.now, request);
    if (refusal === undefined) this.send(request, router, []);
    else this.end(request, refusal.code);
  }

  private send(request: RequestContext, router: ServiceRouter, tried: string[]): void {
    const picked = router.pick(this.now, request, tried);
    if (picked.type === 'refuse') {
      this.end(request, picked.refusal.code);
      return;
    }
    this.lastTicket += 1;
    const gate = Number(picked.target);
    tried.push(picked.target);
    this.pending.set(this.lastTicket, { request, router, tried, gate });
    this.apply(gate, this.gates[gate]!.offer(this.now, this.lastTicket, request));
  }

  private apply(gate: number, actions: readonly GateAction[]): void {
    for (const action of actions) {
      const { ticket } = action;
      if (action.type === 'refuse') this.onRefused(ticket, action.refusal.code);
      else {
        this.starts[gate]!.push(this.now);
        this.running.push({ ticket, sentAt: this.now, endAt: this.now + WORK_MS });
      }
    }
  }

  private onRefused(ticket: number, code: ResultCode): void {
    const { request, router, tried } = this.pending.get(ticket)!;
    const isRateLimited = code === ResultCode.TargetRateLimited;
    this.report(ticket, isRateLimited ? 'rate-limited' : 'overloaded');
    if (isRateLimited) this.refusedAttempts += 1;
    if (isRateLimited && tried.length < MAX_TRIES) this.send(request, router, tried);
    else this.end(request, code);
  }

  private endRuns(): void {
    while (this.running.length > 0 && this.running[0]!.endAt <= this.now) {
      const { ticket, sentAt } = this.running.shift()!;
      const { request, gate: index } = this.pending.get(ticket)!;
      const gate = this.gates[index]!;
      const actions = gate.complete(this.now, ticket, 'success');
      const stated = this.options.limits[index]!(this.now);
      this.apply(index, [...actions, ...gate.noteStatedLimit(this.now, sentAt, stated)]);
      this.report(ticket, 'success');
      this.end(request, undefined);
    }
  }

  private report(ticket: number, outcome: AttemptOutcome): void {
    const { request, router, gate } = this.pending.get(ticket)!;
    this.pending.delete(ticket);
    const load = this.gates[gate]!.report(this.now, request);
    const attempt = { target: String(gate), kind: 'k', outcome, latencyMs: WORK_MS, load };
    router.onOutcome(this.now, attempt);
  }

  private end({ criticality }: RequestContext, code: ResultCode | undefined): void {
    this.ends.push({ at: this.now, criticality, code });
  }
}

const none: LimitAt = () => undefined;

/** Most starts in a window at a limit. */
function allowed(limit: number): number {
  return (1.1 * limit * WINDOW_MS) / MS_PER_SECOND + 2;
}

for (const entries of [1, 6, 33]) {
  test(`targets with a limit are kept to it and the others serve the rest, with ${entries} entries`, () => {
    const limits = [7.3, 12];
    const service = new ServiceSimulation({
      entries,
      limits: [...limits.map((limit) => () => limit), none, none],
      ...{ perSecond: 120, forMs: 30_000 },
    }).run();
    limits.forEach((limit, target) => {
      const worst = service.worstWindow(target, SETTLING_MS);
      assert.ok(worst <= allowed(limit), `${worst} in 4 s at ${limit}`);
    });
    const refused = service.ends.filter(({ code }) => code !== undefined).length;
    assert.ok(refused <= service.ends.length * 0.01, `${refused} of ${service.ends.length}`);
  });

  test(`limits of all targets are used while there is demand, with ${entries} entries`, () => {
    const forMs = 40_000;
    const limits = Array.from({ length: 4 }, () => () => 10);
    const service = new ServiceSimulation({ entries, limits, perSecond: 120, forMs }).run();
    limits.forEach((_, target) => {
      const worst = service.worstWindow(target, SETTLING_MS);
      assert.ok(worst <= allowed(10), `${worst} in 4 s`);
      const rate = service.rateAt(target, SETTLING_MS, forMs);
      assert.ok(rate >= 9 && rate <= 10.05, `${rate} a second of 10`);
    });
    const codes = new Set(service.ends.map(({ code }) => code));
    assert.deepEqual(codes, new Set([undefined, ResultCode.TargetRateLimited]));
  });
}

test('the more important requests are served first while all targets are at their limits', () => {
  const service = new ServiceSimulation({
    entries: 6,
    limits: Array.from({ length: 4 }, () => () => 10),
    ...{ perSecond: 120, forMs: 40_000 },
    criticalities: ['critical', 'normal', 'sheddable', 'sheddable'],
  }).run();
  const [critical, normal, sheddable] = (['critical', 'normal', 'sheddable'] as const).map(
    (criticality) => service.shareServed(criticality, SETTLING_MS),
  );
  const seen = `${critical} ${normal} ${sheddable}`;
  assert.ok(critical! >= 0.9, seen);
  assert.ok(critical! > normal! && normal! > sheddable!, seen);
});

test('a limit that falls, falls further and ends is followed each time', () => {
  const limitAt: LimitAt = (now) => (now < 15_000 ? 20 : now < 30_000 ? 5 : undefined);
  const service = new ServiceSimulation({
    entries: 6,
    limits: [limitAt, none, none, none],
    ...{ perSecond: 120, forMs: 45_000 },
  }).run();
  assert.ok(service.rateAt(0, 20_000, 30_000) <= 5.1, `${service.rateAt(0, 20_000, 30_000)}`);
  const after = service.rateAt(0, 35_000, 45_000);
  assert.ok(after >= 20, `${after} a second after the limit has ended`);
});

test('a target that states a limit of 0 gets trials only, and full load when the limit ends', () => {
  const service = new ServiceSimulation({
    entries: 6,
    limits: [(now) => (now < 20_000 ? 0 : undefined), none, none],
    ...{ perSecond: 90, forMs: 40_000 },
  }).run();
  const worst = service.worstWindow(0, SETTLING_MS);
  assert.ok(service.starts[0]!.filter((at) => at > 5_000 && at < 20_000).length <= 7);
  assert.ok(worst > 0);
  const after = service.rateAt(0, 30_000, 40_000);
  assert.ok(after >= 15, `${after} a second after the limit has ended`);
});
