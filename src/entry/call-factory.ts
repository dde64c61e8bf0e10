/** Turns a received request into a call: classification, context and attempts. */
import { randomUUID } from 'node:crypto';
import { Result } from 'true-myth';
import type { Classification, ConfigStore } from '../config/config-store.js';
import { readParent } from '../core/call-baggage.js';
import type { ServiceRules } from '../config/rules.js';
import { createFailure, type Failure } from '../core/failure.js';
import { forwardRequestFields } from '../core/forwarded-fields.js';
import { findHeader, type HeaderFields, type HttpRequest } from '../core/http-message.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import type { InboundCall } from './call-router.js';
import { readCallerTimeout } from './caller-timeout.js';
import { readIdempotencyKey } from './idempotency-key.js';
import type { ParentLedger, ParentReference } from './parent-ledger.js';

const NOT_READY_RETRY_AFTER_MS = 1_000;
const SPAN_ID_LENGTH = 16;

/** A call ready for routing, with the parent whose attempts it uses. */
export interface PreparedCall {
  readonly call: InboundCall;
  readonly parent?: ParentReference;
}

/** Finds service and kind from the head of a request, before its body is read. */
export function classify(
  config: ConfigStore,
  method: string,
  path: string,
  headers: HeaderFields,
): Result<Classification, Failure> {
  if (config.version === 0) {
    const options = { retryAfterMs: NOT_READY_RETRY_AFTER_MS };
    return Result.err(createFailure(ResultCode.NotReady, 'no rules in force yet', options));
  }
  const host = findHeader(headers, 'host') ?? '';
  const found = config.findServiceByHost(host);
  if (found === undefined) {
    return Result.err(createFailure(ResultCode.UnknownService, `host "${host}"`));
  }
  const kind = config.findKind(found.service, method, path);
  if (kind === undefined) {
    const detail = `${method} ${path.split('?')[0] ?? ''} at ${found.service.name}`;
    return Result.err(createFailure(ResultCode.UnknownKind, detail));
  }
  return Result.ok({ ...found, kind });
}

/** Builds the call of a complete request. */
export class CallFactory {
  constructor(
    private readonly clock: Clock,
    private readonly parents: ParentLedger,
  ) {}

  /** @param received local monotonic time at which the head of the request had been read */
  async create(
    { tenant, service, kind }: Classification,
    request: HttpRequest,
    received: number,
  ): Promise<Result<PreparedCall, Failure>> {
    const key = readIdempotencyKey(request.headers, kind);
    if (key.isErr) return Result.err(key.error);
    const timeout = readCallerTimeout(request.headers);
    if (timeout.isErr) return Result.err(timeout.error);
    const timeoutMs = Math.min(kind.deadlineMs, timeout.value ?? kind.deadlineMs);
    const base: InboundCall = {
      context: {
        requestId: key.value ?? randomUUID(),
        tenant,
        service: service.name,
        kind: kind.name,
        criticality: kind.criticality,
        deadline: received + timeoutMs,
        idempotent: kind.idempotent,
        depth: 0,
      },
      request: prepareRequest(request),
      service,
      kind,
      attempts: kind.attempts,
      ...(key.value === undefined ? {} : { idempotencyKey: key.value }),
    };
    return this.inheritFromParent(base);
  }

  /** A call by a back end uses its parent's attempts and inherits its deadline and criticality. */
  private async inheritFromParent(call: InboundCall): Promise<Result<PreparedCall, Failure>> {
    const parent = readParent(call.request.headers);
    if (parent === undefined) return checkOpenToCallers(call);
    if (entryOf(call) === 'external') {
      const detail = `${call.kind.name} of ${call.service.name} takes no calls from other services`;
      return Result.err(createFailure(ResultCode.UnknownService, detail));
    }
    const reserved = await this.parents.reserve(parent, call);
    if (reserved.isErr) return Result.err(reserved.error);
    const { granted, requestId, criticality, depth, deadline } = reserved.value;
    const context = {
      ...call.context,
      requestId,
      criticality,
      depth: depth + 1,
      deadline: Math.min(call.context.deadline, deadline),
    };
    const { parentAttemptId } = parent;
    return Result.ok({ call: { ...call, context, attempts: granted, parentAttemptId }, parent });
  }
}

/** A kind's own setting overrides that of its service. */
function entryOf({ kind, service }: InboundCall): ServiceRules['entry'] {
  return kind.entry ?? service.entry;
}

function checkOpenToCallers(call: InboundCall): Result<PreparedCall, Failure> {
  if (entryOf(call) !== 'internal') return Result.ok({ call });
  const detail = `${call.kind.name} of ${call.service.name} takes only calls from other services`;
  return Result.err(createFailure(ResultCode.CallContextRequired, detail));
}

/** The request as sent to the back end, without the baggage that the fronting node adds. */
function prepareRequest(request: HttpRequest): HttpRequest {
  const { method, body } = request;
  const headers = forwardRequestFields(method, request.headers, body.length);
  if (findHeader(headers, 'traceparent') !== undefined) return { ...request, headers };
  return { ...request, headers: [...headers, ['traceparent', createTraceparent()]] };
}

/** A W3C trace context with a new trace, not sampled. */
function createTraceparent(): string {
  const trace = randomUUID().replaceAll('-', '');
  const span = randomUUID().replaceAll('-', '').slice(0, SPAN_ID_LENGTH);
  return `00-${trace}-${span}-00`;
}
