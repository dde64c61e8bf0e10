/** HTTP calls of a back end to the next service of its chain, through a node. */
import { EntryChooser } from '../entry-chooser.js';
import { createAgent, exchange, type ExchangeResult } from '../http-exchange.js';
import { CALLER_REQUEST_MEMBER, digestRequest, parseBaggage } from '../request-digest.js';
import { deriveRequestKey } from '../request-key.js';
import type { BackendFaults } from './backend-faults.js';
import type { DownstreamCall } from './backend-options.js';

/** Time limit of a downstream call if the request has no deadline. */
const DEFAULT_TIMEOUT_MS = 30_000;

/** The request for which a call is made. */
export interface CallParent {
  readonly baggage: string | undefined;
  readonly traceparent: string | undefined;
  readonly requestKey: string;
  readonly deadlineMs: number | undefined;
  readonly signal: AbortSignal;
}

/** Outcome of a downstream call. */
export type CallOutcome =
  | { readonly type: 'ok' }
  | { readonly type: 'wrong-answer' }
  /** `cause` is the result code, the failed call further down, the status or the exchange's end. */
  | { readonly type: 'failed'; readonly status: number; readonly cause: string };

/** Makes downstream calls over keep-alive connections. */
export class DownstreamCaller {
  private readonly agent = createAgent();
  private readonly choosers = new Map<DownstreamCall, EntryChooser>();

  constructor(private readonly faults: () => BackendFaults) {}

  /** Makes a call; with the fault `ownRetries`, also retries it if it fails. */
  async call(call: DownstreamCall, parent: CallParent): Promise<CallOutcome> {
    let outcome = await this.attempt(call, parent, 0);
    for (let retry = 1; retry <= this.faults().ownRetries; retry += 1) {
      if (outcome.type !== 'failed' || parent.signal.aborted) return outcome;
      outcome = await this.attempt(call, parent, retry);
    }
    return outcome;
  }

  close(): void {
    this.agent.destroy();
  }

  private async attempt(
    call: DownstreamCall,
    parent: CallParent,
    retryNumber: number,
  ): Promise<CallOutcome> {
    const path = `${call.path}?request=${parent.requestKey}`;
    const body = call.method === 'GET' ? Buffer.alloc(0) : Buffer.from(parent.requestKey);
    const chooser = this.chooserFor(call);
    // Goes on to the next node if one refuses connections; any other result ends this attempt.
    for (let offset = 0; offset < call.nodes.length; offset += 1) {
      const node = chooser.choose(performance.now(), retryNumber + offset);
      const result = await exchange({
        base: call.nodes[node]!,
        method: call.method,
        path,
        headers: this.headers(call, parent),
        body,
        agent: this.agent,
        timeoutMs: parent.deadlineMs ?? DEFAULT_TIMEOUT_MS,
        signal: parent.signal,
      });
      chooser.note(performance.now(), node, result);
      if (result.type === 'not-sent') continue;
      return classifyResult(result, digestRequest(call.method, path, body));
    }
    return { type: 'failed', status: 0, cause: 'not-sent' };
  }

  private chooserFor(call: DownstreamCall): EntryChooser {
    const entryChooser = this.choosers.get(call) ?? new EntryChooser(call.nodes);
    this.choosers.set(call, entryChooser);
    return entryChooser;
  }

  private headers(call: DownstreamCall, parent: CallParent): Record<string, string> {
    const headers: Record<string, string> = { host: call.host };
    const baggage = this.faults().dropContext
      ? `${CALLER_REQUEST_MEMBER}=${parseBaggage(parent.baggage).get(CALLER_REQUEST_MEMBER) ?? ''}`
      : parent.baggage;
    if (baggage !== undefined) headers['baggage'] = baggage;
    if (parent.traceparent !== undefined) headers['traceparent'] = parent.traceparent;
    if (call.method !== 'GET') {
      headers['idempotency-key'] = deriveRequestKey(parent.requestKey, call.service);
    }
    return headers;
  }
}

function classifyResult(result: ExchangeResult, digest: string): CallOutcome {
  if (result.type !== 'answer') return { type: 'failed', status: 0, cause: result.type };
  if (result.status !== 200) {
    const code = result.headers['sillshore-result'] ?? result.headers['x-failed-call'];
    return { type: 'failed', status: result.status, cause: `${code ?? result.status}` };
  }
  return result.headers['x-request-digest'] === digest ? { type: 'ok' } : { type: 'wrong-answer' };
}
