/** Measurements of a run: ends by kind, refusals by place, attempts, slot time, time series. */
import { build, type Histogram } from 'hdr-histogram-js';
import { ResultCode } from '../core/result-code.js';
import type { CallSite, Deployment, CallerKind } from './deployment.js';
import type { RequestEnd, RequestRecord } from './request-record.js';

/** Length of one window of the time series, in milliseconds. */
export const WINDOW_MS = 100;

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_LATENCY_US = 600_000_000;

/** Where a request was refused. */
export type RefusalPlace = 'admission' | 'routing' | 'attempts' | 'gate' | 'target';

/** Totals of one kind over the measured part of a run. */
export interface KindTotals {
  sent: number;
  readonly ends: Record<RequestEnd, number>;
  /** Attempts sent to back ends. */
  attempts: number;
  /** Distinct calls of the chain that were reached. */
  calls: number;
  maxAttempts: number;
  /** Highest number of attempts per distinct call of any one request. */
  maxAttemptsPerCall: number;
  readonly latencyUs: Histogram;
}

/** Slot time of one service, in milliseconds. */
export interface SlotTotals {
  /** Held by requests that ended complete. */
  useful: number;
  /** Held by requests that ended otherwise. */
  wasted: number;
  /** Held after the caller's request had ended. */
  late: number;
}

/** Time that attempts waited in gates before they were dispatched. */
export interface GateWait {
  count: number;
  totalMs: number;
}

/** Counts of one kind per window. */
export interface KindSeries {
  readonly sent: number[];
  readonly complete: number[];
  readonly refused: number[];
}

/** Counts of one service per window, and samples at the end of each window. */
export interface ServiceSeries {
  readonly attempts: number[];
  readonly refusals: number[];
  /** Requests waiting in the gates of the service's targets. */
  readonly queued: number[];
  /** Requests waiting for a connection or in the back ends. */
  readonly queuedInTargets: number[];
  readonly inFlight: number[];
  /** Sum of the gates' limits; `null` when a gate has none. */
  readonly limit: (number | null)[];
  /** Highest admission threshold of the gates. */
  readonly threshold: number[];
}

/** State of a service at one time, over all its targets. */
export interface ServiceSample {
  readonly queued: number;
  readonly queuedInTargets: number;
  readonly inFlight: number;
  readonly limit: number;
  readonly threshold: number;
}

/** Records one run. */
export class Recorder {
  readonly kinds: readonly KindTotals[];
  readonly slots: readonly SlotTotals[];
  readonly kindSeries: readonly KindSeries[];
  readonly serviceSeries: readonly ServiceSeries[];
  /** Refusals by `place code service depth`. */
  readonly refusals = new Map<string, number>();
  /** Waits of dispatched attempts in the gates, by `kind at service depth`. */
  readonly gateWaits = new Map<string, GateWait>();
  private readonly serviceIndex: ReadonlyMap<string, number>;

  constructor(
    deployment: Deployment,
    private readonly now: () => number,
    /** Time from which sent requests count in the totals. */
    private readonly measureFromMs: number,
    windows: number,
  ) {
    const zeros = () => new Array<number>(windows).fill(0);
    this.kinds = deployment.kinds.map(() => createKindTotals());
    this.kindSeries = deployment.kinds.map(() => ({
      sent: zeros(),
      complete: zeros(),
      refused: zeros(),
    }));
    this.slots = deployment.services.map(() => ({ useful: 0, wasted: 0, late: 0 }));
    this.serviceSeries = deployment.services.map(() => ({
      attempts: zeros(),
      refusals: zeros(),
      queued: zeros(),
      queuedInTargets: zeros(),
      inFlight: zeros(),
      limit: zeros(),
      threshold: zeros(),
    }));
    this.serviceIndex = new Map(deployment.services.map(({ name }, index) => [name, index]));
  }

  /** Records a request when its caller first sends it. */
  onSent(record: RequestRecord): void {
    this.count(this.kindSeries[record.kindIndex]!.sent);
    if (this.isMeasured(record)) this.kinds[record.kindIndex]!.sent += 1;
  }

  /** Records that a gate dispatched an attempt after a wait. */
  onDispatch(record: RequestRecord, site: CallSite, waitedMs: number): void {
    if (this.isMeasured(record)) this.addWait(record, site, waitedMs);
  }

  /** Records an attempt; only one that is sent to a running back end counts. */
  onAttempt(record: RequestRecord, site: CallSite): void {
    record.attempts += 1;
    this.count(this.seriesOf(site).attempts);
  }

  /** Records the refusal of an attempt or a call. */
  onRefusal(record: RequestRecord, site: CallSite, place: RefusalPlace, code: ResultCode): void {
    this.count(this.seriesOf(site).refusals);
    if (!this.isMeasured(record)) return;
    const key = `${place} ${ResultCode[code]} ${site.service} depth ${site.depth}`;
    this.refusals.set(key, (this.refusals.get(key) ?? 0) + 1);
  }

  /** Records the end of a caller's request. */
  onEnd(record: RequestRecord, end: RequestEnd): void {
    const series = this.kindSeries[record.kindIndex]!;
    if (end === 'complete') this.count(series.complete);
    else if (end === 'refused') this.count(series.refused);
    if (!this.isMeasured(record)) return;
    this.addToTotals(this.kinds[record.kindIndex]!, record, end);
    this.settleSlotUse(record, end);
  }

  /** Records the time for which a request held a slot of a service. */
  addSlotTime(record: RequestRecord, serviceIndex: number, heldMs: number): void {
    if (record.end === undefined) record.slotUse.push(serviceIndex, heldMs);
    else if (this.isMeasured(record)) this.slots[serviceIndex]!.late += heldMs;
  }

  /** Records the state of a service for the current window. */
  sampleService(serviceIndex: number, sample: ServiceSample): void {
    const series = this.serviceSeries[serviceIndex]!;
    const window = this.window();
    if (window >= series.queued.length) return;
    series.queued[window] = sample.queued;
    series.queuedInTargets[window] = sample.queuedInTargets;
    series.inFlight[window] = sample.inFlight;
    series.limit[window] = Number.isFinite(sample.limit) ? sample.limit : null;
    series.threshold[window] = sample.threshold;
  }

  private addWait(record: RequestRecord, site: CallSite, waitedMs: number): void {
    const key = `${record.kind.name} at ${site.service} depth ${site.depth}`;
    const wait = this.gateWaits.get(key);
    if (wait === undefined) {
      this.gateWaits.set(key, { count: 1, totalMs: waitedMs });
    } else {
      wait.count += 1;
      wait.totalMs += waitedMs;
    }
  }

  private addToTotals(totals: KindTotals, record: RequestRecord, end: RequestEnd): void {
    totals.ends[end] += 1;
    totals.attempts += record.attempts;
    const calls = record.reachedSites.reduce((sum, reached) => sum + reached, 0);
    totals.calls += calls;
    totals.maxAttempts = Math.max(totals.maxAttempts, record.attempts);
    const perCall = calls === 0 ? 0 : record.attempts / calls;
    totals.maxAttemptsPerCall = Math.max(totals.maxAttemptsPerCall, perCall);
    if (end !== 'complete') return;
    const latencyUs = Math.round((this.now() - record.sentAt) * MICROSECONDS_PER_MS);
    totals.latencyUs.recordValue(Math.max(1, latencyUs));
  }

  private settleSlotUse(record: RequestRecord, end: RequestEnd): void {
    for (let index = 0; index < record.slotUse.length; index += 2) {
      const slots = this.slots[record.slotUse[index]!]!;
      const heldMs = record.slotUse[index + 1]!;
      if (end === 'complete') slots.useful += heldMs;
      else slots.wasted += heldMs;
    }
  }

  private isMeasured(record: RequestRecord): boolean {
    return record.sentAt >= this.measureFromMs;
  }

  private seriesOf(site: CallSite): ServiceSeries {
    return this.serviceSeries[this.serviceIndex.get(site.service)!]!;
  }

  private window(): number {
    return Math.floor(this.now() / WINDOW_MS);
  }

  private count(series: number[]): void {
    const window = this.window();
    if (window < series.length) series[window]! += 1;
  }
}

/** Creates the record of a new request. */
export function createRequestRecord(
  id: string,
  kind: CallerKind,
  kindIndex: number,
  sentAt: number,
): RequestRecord {
  return {
    id,
    kind,
    kindIndex,
    sentAt,
    end: undefined,
    attempts: 0,
    attemptsLeft: kind.root.kind.attempts,
    reachedSites: new Uint8Array(kind.root.size),
    mayHaveRun: false,
    slotUse: [],
  };
}

function createKindTotals(): KindTotals {
  return {
    sent: 0,
    ends: { complete: 0, refused: 0, failed: 0, timeout: 0 },
    attempts: 0,
    calls: 0,
    maxAttempts: 0,
    maxAttemptsPerCall: 0,
    latencyUs: build({
      highestTrackableValue: HIGHEST_LATENCY_US,
      numberOfSignificantValueDigits: 3,
    }),
  };
}
