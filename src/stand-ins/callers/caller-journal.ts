/** Records of the callers' requests, with the verdict on each answer. */
import type { ExchangeResult } from '../http-exchange.js';

/** Verdict on one attempt or on a whole request. */
export type CallVerdict =
  /** The complete answer to the caller's own request. */
  | 'complete'
  /** Not sent, or answered that it was not run. */
  | 'refused'
  /** Answered with an error of the service. */
  | 'failed'
  /** Not known: the answer says so, the connection was cut, or the caller's time limit passed. */
  | 'unknown'
  /** A complete answer that belongs to another request or is damaged. */
  | 'wrong';

/** One attempt of a request. */
export interface TryRecord {
  /** Index of the entry in the entries of the run. */
  readonly entry: number;
  readonly verdict: CallVerdict;
  readonly ended: ExchangeResult['type'];
  readonly status?: number;
  /** `Sillshore-Result` of the answer. */
  readonly code?: string;
  /** `Sillshore-Execution` of the answer. */
  readonly execution?: string;
  /** Failed downstream call as the service reports it: service and cause, down the chain. */
  readonly below?: string;
  readonly latencyMs: number;
  /** Milliseconds spent in the back end, as it reports them. */
  readonly backendMs?: number;
}

/** One request of a caller with all its attempts. */
export interface RequestRecord {
  readonly request: string;
  readonly kind: string;
  /** Unix milliseconds. */
  readonly sentAt: number;
  readonly tries: readonly TryRecord[];
  readonly verdict: CallVerdict;
  /** Whether every attempt was refused. */
  readonly toldNotRun: boolean;
  /** Milliseconds from the planned time of sending to the end. */
  readonly latencyMs: number;
}

/** Returns the verdict on one exchange. */
export function judgeExchange(result: ExchangeResult, digest: string, key: string): CallVerdict {
  if (result.type === 'not-sent') return 'refused';
  if (result.type !== 'answer') return 'unknown';
  const execution = result.headers['sillshore-execution'];
  if (execution === 'not-run') return 'refused';
  if (execution === 'unknown') return 'unknown';
  if (execution === 'run' || result.status !== 200) return 'failed';
  return isOwnAnswer(result.body, digest, key) ? 'complete' : 'wrong';
}

/** Creates the record of a request from its attempts. */
export function concludeRequest(
  request: string,
  kind: string,
  sentAt: number,
  tries: readonly TryRecord[],
  latencyMs: number,
): RequestRecord {
  const verdicts = tries.map((one) => one.verdict);
  return {
    request,
    kind,
    sentAt,
    tries,
    verdict: concludeVerdict(verdicts),
    toldNotRun: verdicts.every((verdict) => verdict === 'refused'),
    latencyMs,
  };
}

function concludeVerdict(verdicts: readonly CallVerdict[]): CallVerdict {
  for (const verdict of ['wrong', 'complete', 'unknown', 'failed'] as const) {
    if (verdicts.includes(verdict)) return verdict;
  }
  return 'refused';
}

interface AnswerDocument {
  readonly request?: unknown;
  readonly digest?: unknown;
  readonly filler?: unknown;
}

function isOwnAnswer(body: Buffer, digest: string, key: string): boolean {
  try {
    const document = JSON.parse(body.toString('utf8')) as AnswerDocument;
    return (
      document.digest === digest &&
      document.request === key &&
      typeof document.filler === 'string' &&
      digest.repeat(1 + document.filler.length / digest.length).startsWith(document.filler)
    );
  } catch {
    return false;
  }
}
