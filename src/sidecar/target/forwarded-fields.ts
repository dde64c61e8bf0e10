/**
 * Which header fields pass. Everything passes in its order and case except hop-by-hop fields
 * (RFC 9110, section 7.6.1), message framing, which is written anew because bodies are held
 * whole, and the fields that the node itself sets.
 */
import { HOP_BY_HOP_FIELDS } from '../../core/forwarded-fields.js';
import type { AttemptCall, RawFields } from '../link/link-messages.js';
import type { FieldNames } from '../platform-adapter.js';

const FRAMING: ReadonlySet<string> = new Set(['content-length', 'expect']);
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

/** Fields of a request as the target gets them. */
export function requestFields(
  call: AttemptCall,
  names: FieldNames,
  targetId: string,
  timeLeftMs: number,
): RawFields {
  const own = new Set([names.timeLeft, names.expectedTarget, names.callerService]);
  const fields = keep(call.fields, (name) => !own.has(name) && !FRAMING.has(name));
  fields.push(names.timeLeft, String(Math.max(1, Math.floor(timeLeftMs))));
  fields.push(names.expectedTarget, targetId);
  fields.push(names.callerService, call.callerService);
  if (call.body.length > 0 || !METHODS_WITHOUT_BODY.has(call.method)) {
    fields.push('Content-Length', String(call.body.length));
  }
  return fields;
}

/** Fields of an answer as the caller gets them. */
export function answerFields(fields: RawFields): RawFields {
  return keep(fields, (name) => name !== 'content-length');
}

function keep(fields: RawFields, passes: (name: string) => boolean): string[] {
  const tokens = connectionTokens(fields);
  const kept: string[] = [];
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const name = fields[index]!.toLowerCase();
    if (HOP_BY_HOP_FIELDS.has(name) || tokens?.has(name) === true || !passes(name)) continue;
    kept.push(fields[index]!, fields[index + 1]!);
  }
  return kept;
}

/** Names listed in `Connection` fields are hop-by-hop too. */
function connectionTokens(fields: RawFields): ReadonlySet<string> | undefined {
  let tokens: Set<string> | undefined;
  for (let index = 0; index + 1 < fields.length; index += 2) {
    if (fields[index]!.toLowerCase() !== 'connection') continue;
    tokens ??= new Set();
    for (const token of fields[index + 1]!.split(',')) tokens.add(token.trim().toLowerCase());
  }
  return tokens;
}
