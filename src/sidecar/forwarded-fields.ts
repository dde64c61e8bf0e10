/**
 * Decides which header fields are forwarded. All fields are forwarded in their order and case except
 * hop-by-hop fields (RFC 9110, section 7.6.1), message framing, which is written again because bodies are
 * buffered whole, and the fields that the nodes themselves set. Other fields are removed before the
 * message goes over a link, since traffic between zones is expensive.
 */
import { HOP_BY_HOP_FIELDS } from '../core/forwarded-fields.js';
import type { AttemptCall, RawFields } from './link/link-messages.js';
import type { FieldNames } from './platform-adapter.js';

const FRAMING_FIELDS: ReadonlySet<string> = new Set(['content-length', 'expect']);
const CONNECTION = 'connection';
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

/** Filters and adds header fields, with one platform's field names. */
export class ForwardedFields {
  /** Fields that the target's sidecar sets itself, whatever the caller sent, and framing. */
  private readonly ownRequestFields: ReadonlySet<string>;
  private readonly ownAnswerFields: ReadonlySet<string>;

  constructor(private readonly names: FieldNames) {
    const { attemptId, timeLeft, expectedTarget, callerService, apiKey, tenant } = names;
    const own = [attemptId, timeLeft, expectedTarget, callerService, apiKey, tenant];
    this.ownRequestFields = new Set([...own, ...FRAMING_FIELDS]);
    this.ownAnswerFields = new Set([attemptId, 'content-length']);
  }

  /** Returns the fields of a caller's request that are forwarded. */
  fromCaller(fields: RawFields): RawFields {
    return filterFields(fields, this.ownRequestFields);
  }

  /** Returns the fields of a request to the target. */
  toTarget(call: AttemptCall, targetId: string, timeLeftMs: number): RawFields {
    const { attemptId, timeLeft, expectedTarget, callerService, tenant } = this.names;
    const fields = [
      ...call.fields,
      attemptId,
      call.attemptId,
      timeLeft,
      String(Math.max(1, Math.floor(timeLeftMs))),
      expectedTarget,
      targetId,
      callerService,
      call.callerService,
    ];
    if (call.authorization !== undefined) fields.push(tenant, call.authorization.tenant);
    if (call.body.length > 0 || !METHODS_WITHOUT_BODY.has(call.method)) {
      fields.push('Content-Length', String(call.body.length));
    }
    return fields;
  }

  /** Returns the fields of a target's answer that are forwarded. */
  fromTarget(fields: RawFields): RawFields {
    return filterFields(fields, this.ownAnswerFields);
  }

  /** Returns the fields of an answer to the caller. */
  toCaller(fields: RawFields, attemptId: string): RawFields {
    return [...fields, this.names.attemptId, attemptId];
  }
}

function filterFields(fields: RawFields, own: ReadonlySet<string>): string[] {
  const tokens = connectionTokens(fields);
  const kept: string[] = [];
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const name = fields[index]!.toLowerCase();
    if (HOP_BY_HOP_FIELDS.has(name) || tokens?.has(name) === true || own.has(name)) continue;
    kept.push(fields[index]!, fields[index + 1]!);
  }
  return kept;
}

/** Returns the names listed in `Connection` fields, which are hop-by-hop too; undefined: no further names. */
function connectionTokens(fields: RawFields): ReadonlySet<string> | undefined {
  let tokens: Set<string> | undefined;
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const name = fields[index]!;
    if (name.length !== CONNECTION.length || name.toLowerCase() !== CONNECTION) continue;
    // Nearly all requests list just `keep-alive`, which is removed anyway.
    if (HOP_BY_HOP_FIELDS.has(fields[index + 1]!)) continue;
    tokens ??= new Set();
    for (const token of fields[index + 1]!.split(',')) tokens.add(token.trim().toLowerCase());
  }
  return tokens;
}
