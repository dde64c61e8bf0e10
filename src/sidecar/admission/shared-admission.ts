/** The entry node's side: counts root requests and refuses those that a short service has no room for. */
import type { AdmissionPlan } from '../../core/admission/admission-plan.js';
import { hashToUnit } from '../../core/admission/admission-priority.js';
import { DemandMeter } from '../../core/admission/demand-meter.js';
import { buildDemandRows, type DemandRow } from '../../core/admission/demand-rows.js';
import type { CostEstimate } from '../../core/admission/request-costs.js';
import { ShortService } from '../../core/admission/short-service.js';
import { createFailure, type Failure } from '../../core/failure.js';
import type { CallerKeys } from '../../core/retry/caller-keys.js';
import type { ReturnCheck } from '../../core/retry/returning-callers.js';
import { rankOf, type LoadReport, type RequestContext } from '../../core/request.js';
import { ResultCode } from '../../core/result-code.js';
import type { Clock } from '../../kernel/clock.js';
import { Event, type EventLog } from '../../kernel/event.js';
import { classFiguresText } from './class-figures.js';

/** Costs of root requests at this node; see {@link RequestCosts}. */
export interface CostSource {
  costAt(
    now: number,
    kind: string,
    service: string,
    shortService: string,
  ): CostEstimate | undefined;
}

/** Remembers refusals; see {@link CallerKeys}. */
export type RefusalMemory = Pick<CallerKeys, 'noteRefused' | 'noteAdmitted' | 'check'>;

/** Starts reports of a service's demand; does nothing when they are sent already. */
export interface ReportStarter {
  start(): void;
  close(): void;
}

export interface SharedAdmissionOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly costs: CostSource;
  readonly refusals: RefusalMemory;
  /** See {@link isSharedAdmissionOn}. */
  isOn(): boolean;
  createReporter(service: string, admission: SharedAdmission): ReportStarter;
  onRefused(service: string, rank: number): void;
}

/** A request at its entry node. */
export interface EntryRoot {
  readonly context: RequestContext;
  /** Time to the objective, in milliseconds from the first try. */
  readonly aimMs: number;
  /** Identifies the caller and what it asks for. */
  callerKey(): string;
}

/** Shares of the classes of one service that is short. */
export interface ServiceShares {
  readonly service: string;
  /** By rank. */
  readonly shares: readonly number[];
}

/** Services that load reports may name; further ones are ignored. */
const MAX_SERVICES = 16;
/** Time after which all refusals have been forgotten, in milliseconds: longest retry time and 2 s. */
const REFUSALS_KNOWN_MS = 3_500;
const MIN_RETRY_MS = 300;
const MAX_RETRY_MS = 1_500;
/** Part of the retry time that does not depend on the share. */
const BASE_RETRY_MS = 500;
/** Shortest time between two lines about plans of a service, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;
const PERCENT = 100;

interface Tracked {
  readonly service: string;
  readonly short: ShortService;
  readonly reporter: ReportStarter;
  /** Whether the last line said that a plan is in force. */
  loggedActive: boolean;
  loggedAt: number;
}

/** Decides on root requests before they are routed. */
export class SharedAdmission {
  private readonly meter = new DemandMeter();
  /** Services that were short since this node started. */
  private readonly services = new Map<string, Tracked>();
  private refusedAt = -Infinity;

  constructor(private readonly options: SharedAdmissionOptions) {}

  /** Whether root requests are counted and decided on. */
  get isOn(): boolean {
    return this.options.isOn();
  }

  /** Counts a root request; returns the refusal of one that a short service has no room for. */
  check(root: EntryRoot): Failure | undefined {
    const now = this.options.clock.now();
    const { requestId, tenant, kind, service, criticality } = root.context;
    const rank = rankOf(criticality);
    const limiting = this.limiting(now, kind, service);
    const returning = this.checkReturning(now, root);
    if (returning.type === 'early' && limiting.length > 0) {
      return this.refuse(limiting[0]!, root, returning.remainingMs);
    }
    this.meter.note(now, { rank, kind, service, tenant });
    if (limiting.length === 0) return undefined;
    const isReturning = returning.type === 'due' && now < returning.firstTriedAt + root.aimMs;
    const request = { requestId, rank, tenant, isReturning };
    const refusing = limiting.find(({ short }) => !short.plan.admits(now, request));
    if (refusing === undefined) {
      this.options.refusals.noteAdmitted(now, root.callerKey());
      return undefined;
    }
    const share = refusing.short.plan.shareOf(now, rank, tenant);
    const retryAfterMs = retryTime(share, requestId);
    this.options.refusals.noteRefused(now, root.callerKey(), retryAfterMs);
    this.refusedAt = now;
    return this.refuse(refusing, root, retryAfterMs);
  }

  /** Notes the load report of an attempt. */
  noteLoad({ shortService }: LoadReport): void {
    if (shortService !== undefined && this.isOn) this.noteShort(shortService);
  }

  /** Begins to report the demand for a service. */
  noteShort(service: string): void {
    const tracked = this.track(service);
    if (tracked === undefined) return;
    tracked.short.noteShort(this.options.clock.now());
    tracked.reporter.start();
  }

  /** Rows of the report for a short service. */
  rows(now: number, shortService: string): readonly DemandRow[] {
    return buildDemandRows(this.meter.measure(now), (kind, service) =>
      this.options.costs.costAt(now, kind, service, shortService),
    );
  }

  /** What this node knows of a service that was short. */
  shortService(service: string): ShortService | undefined {
    return this.services.get(service)?.short;
  }

  /** Brings a plan into force. */
  onPlan(service: string, plan: AdmissionPlan): void {
    const tracked = this.services.get(service);
    if (tracked === undefined) return;
    tracked.short.notePlan(this.options.clock.now(), plan);
    this.logChange(tracked);
  }

  /** Called at each report of a service; the last one ends its plan. */
  onReportTick(service: string): void {
    const tracked = this.services.get(service);
    if (tracked !== undefined) this.logChange(tracked);
  }

  /** Shares of the plans in force now. */
  shares(): readonly ServiceShares[] {
    const now = this.options.clock.now();
    const found: ServiceShares[] = [];
    for (const { service, short } of this.services.values()) {
      const shares = short.plan.shares(now);
      if (shares !== undefined) found.push({ service, shares });
    }
    return found;
  }

  /** Sends no further reports. */
  close(): void {
    for (const { reporter } of this.services.values()) reporter.close();
  }

  private track(service: string): Tracked | undefined {
    const known = this.services.get(service);
    if (known !== undefined || this.services.size >= MAX_SERVICES) return known;
    const reporter = this.options.createReporter(service, this);
    const short = new ShortService();
    const tracked = { service, short, reporter, loggedActive: false, loggedAt: -Infinity };
    this.services.set(service, tracked);
    return tracked;
  }

  /** Services with a plan in force that requests of the kind cost something, or an unknown amount. */
  private limiting(now: number, kind: string, service: string): readonly Tracked[] {
    if (this.services.size === 0) return [];
    return [...this.services.values()].filter(
      (tracked) =>
        tracked.short.plan.isActive(now) &&
        this.options.costs.costAt(now, kind, service, tracked.service)?.meanMs !== 0,
    );
  }

  private checkReturning(now: number, root: EntryRoot): ReturnCheck {
    if (now - this.refusedAt > REFUSALS_KNOWN_MS) return { type: 'new' };
    return this.options.refusals.check(now, root.callerKey());
  }

  private refuse({ service, short }: Tracked, { context }: EntryRoot, waitMs: number): Failure {
    const { tenant, criticality } = context;
    const share = short.plan.shareOf(this.options.clock.now(), rankOf(criticality), tenant);
    this.options.onRefused(service, rankOf(criticality));
    const percent = Math.round(share * PERCENT);
    const detail = `${service} is short of slots and takes ${percent}% of class ${criticality}`;
    const retryAfterMs = Math.ceil(waitMs);
    return createFailure(ResultCode.ServiceSaturated, detail, {
      execution: 'not-run',
      retryAfterMs,
    });
  }

  private logChange(tracked: Tracked): void {
    const now = this.options.clock.now();
    const { service, short } = tracked;
    const shares = short.plan.shares(now);
    const isActive = shares !== undefined;
    if (isActive === tracked.loggedActive || now - tracked.loggedAt < LOG_INTERVAL_MS) return;
    tracked.loggedActive = isActive;
    tracked.loggedAt = now;
    this.options.log.emit(Event.AdmissionPlanChanged, {
      service,
      state: isActive ? 'in force' : 'ended',
      shares: shares === undefined ? undefined : classFiguresText(shares),
      ageMs: Math.round(short.plan.ageMs(now)),
    });
  }
}

/** Longer for a smaller share, and spread over the requests, so that they don't come back together. */
function retryTime(share: number, requestId: string): number {
  const longest = BASE_RETRY_MS + (MAX_RETRY_MS - BASE_RETRY_MS) * (1 - share);
  const spread = hashToUnit(`retry ${requestId}`);
  return MIN_RETRY_MS + (longest - MIN_RETRY_MS) * spread;
}
