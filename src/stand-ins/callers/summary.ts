/** Summary of the callers' results by kind. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { CallVerdict, RequestRecord } from './caller-journal.js';

const MICROSECONDS = 1_000;

/** Quantiles in milliseconds. */
export interface Quantiles {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Results of the requests of one kind. */
export interface KindSummary {
  readonly kind: string;
  readonly sent: number;
  readonly complete: number;
  readonly refused: number;
  readonly failed: number;
  readonly unknown: number;
  readonly wrong: number;
  /** Attempts that the callers made over all requests. */
  readonly tries: number;
  /** Attempts whose connection ended before the answer was complete. */
  readonly cut: number;
  /** Latency of the complete requests. */
  readonly latency: Quantiles;
  /**
   * Number of incomplete attempts by the first of these that is known: result code, failed downstream
   * call, status, how the exchange ended.
   */
  readonly codes: Readonly<Record<string, number>>;
}

/** Collects durations in milliseconds. */
export class DurationHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600 * 1_000 * MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });

  record(milliseconds: number): void {
    this.histogram.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS)));
  }

  quantiles(): Quantiles {
    const at = (percentile: number): number =>
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS;
    const count = this.histogram.totalCount;
    const max = count === 0 ? 0 : this.histogram.maxValue / MICROSECONDS;
    return { count, p50: at(50), p90: at(90), p99: at(99), max };
  }
}

/** Summarises the records of one kind. */
export function summarizeKind(kind: string, records: readonly RequestRecord[]): KindSummary {
  const latency = new DurationHistogram();
  const codes: Record<string, number> = {};
  const count = (verdict: CallVerdict): number =>
    records.filter((record) => record.verdict === verdict).length;
  let tries = 0;
  let cut = 0;
  for (const record of records) {
    if (record.verdict === 'complete') latency.record(record.latencyMs);
    for (const one of record.tries) {
      tries += 1;
      if (one.ended === 'cut') cut += 1;
      if (one.verdict === 'complete') continue;
      const answered = one.status === undefined ? one.ended : `status ${one.status}`;
      const code = one.code ?? one.below ?? answered;
      codes[code] = (codes[code] ?? 0) + 1;
    }
  }
  return {
    kind,
    sent: records.length,
    complete: count('complete'),
    refused: count('refused'),
    failed: count('failed'),
    unknown: count('unknown'),
    wrong: count('wrong'),
    tries,
    cut,
    latency: latency.quantiles(),
    codes,
  };
}
