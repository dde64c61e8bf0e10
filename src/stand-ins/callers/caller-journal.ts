/** What each request of the callers got: the record and its judgement. */
import type { ExchangeResult } from '../http-exchange.js';

/** Judgement of one try or of a whole request. */
export type CallVerdict =
  /** The complete answer to the caller's own request. */
  | 'complete'
  /** Told that it was not run. */
  | 'refused'
  /** An answer of the service that is an error. */
  | 'failed'
  /** Not known: told so, cut, or no answer within the caller's patience. */
  | 'unknown'
  /** A complete answer to another request, or a damaged one. */
  | 'wrong';

/** One try of a request. */
export interface TryRecord {
  /** Position of the entry among those of the run. */
  readonly entry: number;
  readonly verdict: CallVerdict;
  readonly ended: ExchangeResult['type'];
  readonly status?: number;
  /** `Sillshore-Result` of the answer. */
  readonly code?: string;
  /** `Sillshore-Execution` of the answer. */
  readonly execution?: string;
  /** Failed call below, as the service's answer tells: `service cause`, down the chain. */
  readonly below?: string;
  readonly latencyMs: number;
  /** Milliseconds that the back end spent, by its own account. */
  readonly backendMs?: number;
}

/** One request of a caller with all its tries. */
export interface RequestRecord {
  readonly request: string;
  readonly kind: string;
  /** Unix milliseconds. */
  readonly sentAt: number;
  readonly tries: readonly TryRecord[];
  readonly verdict: CallVerdict;
  /** Whether every try was told `not-run`. */
  readonly toldNotRun: boolean;
  /** From the planned time of sending to the end, in milliseconds. */
  readonly latencyMs: number;
}

/** Judges the end of one exchange. */
export function judgeExchange(result: ExchangeResult, digest: string, key: string): CallVerdict {
  if (result.type === 'not-sent') return 'refused';
  if (result.type !== 'answer') return 'unknown';
  const execution = result.headers['sillshore-execution'];
  if (execution === 'not-run') return 'refused';
  if (execution === 'unknown') return 'unknown';
  if (execution === 'run' || result.status !== 200) return 'failed';
  return isOwnAnswer(result.body, digest, key) ? 'complete' : 'wrong';
}

/** Puts the tries of a request together. */
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
