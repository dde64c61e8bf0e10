/** What a router knows about one target. */
import { AgedThreshold } from '../admission/aged-threshold.js';
import type { AttemptReport, TargetView } from '../overload.js';
import type { LoadReport } from '../request.js';
import { OutlierDetection } from './outliers.js';
import { RateLimitedShare } from './rate-limited-share.js';
import { TargetSpeed } from './relative-speed.js';

/** Time in which a reported share of failures decays to about a third, in milliseconds. */
const FAILURE_DECAY_MS = 2_000;
/** Age at which a load report is outdated, in milliseconds. */
const REPORT_VALID_MS = 1_000;

/** Mutable state of one target. */
export class TargetState {
  /** Attempts that this router has sent and that have not ended. */
  outstanding = 0;
  readonly health = new OutlierDetection();
  readonly rateLimitedShare = new RateLimitedShare();
  readonly speed = new TargetSpeed();
  private report: LoadReport | undefined;
  private reportedAt = -Infinity;
  private outstandingAtReport = 0;
  private readonly thresholds = new Map<string, AgedThreshold>();

  constructor(
    public view: TargetView,
    /** When the target became known to a router that was already running, else -Infinity. */
    public joinedAt: number,
  ) {}

  /** Records the end of an attempt. */
  noteOutcome(now: number, outcome: AttemptReport): void {
    this.outstanding = Math.max(0, this.outstanding - 1);
    this.health.noteOutcome(now, outcome.outcome);
    if (isAccepted(outcome)) this.rateLimitedShare.noteAccepted(now);
    if (outcome.load !== undefined) this.noteLoad(now, outcome.load, outcome.kind ?? '');
  }

  /** Last report, or `undefined` when it is too old. */
  freshReport(now: number): LoadReport | undefined {
    return now - this.reportedAt <= REPORT_VALID_MS ? this.report : undefined;
  }

  /** Requests at the target now: those reported, corrected by this router's attempts since then. */
  load(now: number): number {
    const report = this.freshReport(now);
    if (report === undefined) return this.outstanding;
    const since = this.outstanding - this.outstandingAtReport;
    return Math.max(this.outstanding, report.inFlight + report.queued + since);
  }

  /** Share of recent attempts that the target left without an answer, 0 to 1. */
  failureShare(now: number): number {
    const share = this.report?.failureShare ?? 0;
    return share === 0 ? 0 : share * Math.exp((this.reportedAt - now) / FAILURE_DECAY_MS);
  }

  /** Records that an attempt is sent. */
  noteSent(now: number): void {
    this.outstanding += 1;
    this.health.noteSent();
    this.rateLimitedShare.noteSent(now);
  }

  /** Whether the target has stated a request limit of which this router has used its share. */
  isShareUsed(now: number, rank: number): boolean {
    if (this.report?.requestLimit === undefined) return false;
    return !this.rateLimitedShare.allows(now, rank);
  }

  /** Last known concurrency limit and latency, however old. */
  lastReport(): LoadReport | undefined {
    return this.report;
  }

  /**
   * Admission threshold for a kind. A stale one is capped at the lowest recent threshold of the
   * other kinds, because the gate's own part is the same for all.
   */
  threshold(now: number, kind: string): number {
    const own = this.thresholds.get(kind);
    if (own === undefined) return 0;
    let threshold = own.at(now);
    if (own.isFresh(now)) return threshold;
    for (const other of this.thresholds.values()) {
      if (other.isFresh(now)) threshold = Math.min(threshold, other.at(now));
    }
    return threshold;
  }

  private noteLoad(now: number, load: LoadReport, kind: string): void {
    this.report = load;
    this.rateLimitedShare.setLimit(load.requestLimit);
    this.reportedAt = now;
    this.outstandingAtReport = this.outstanding;
    this.speed.note(now, kind, load);
    let threshold = this.thresholds.get(kind);
    if (threshold === undefined) {
      threshold = new AgedThreshold();
      this.thresholds.set(kind, threshold);
    }
    threshold.note(now, load.threshold);
  }
}

/** Whether the target's node has let the attempt pass to the target. */
function isAccepted({ outcome }: AttemptReport): boolean {
  return outcome === 'success' || outcome === 'failed' || outcome === 'timeout';
}
