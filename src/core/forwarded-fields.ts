/**
 * Selects the header fields that a node forwards. All fields keep their order and case, except
 * that hop-by-hop fields (RFC 9110, section 7.6.1) are dropped and message framing is written
 * again, because bodies are buffered whole.
 */
import type { HeaderFields } from './http-message.js';

/** Fields of one connection only, in lower case (RFC 9110, section 7.6.1). */
export const HOP_BY_HOP_FIELDS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Fields that the receiving side of a request has already processed. */
const REQUEST_ONLY_FIELDS: ReadonlySet<string> = new Set(['expect', 'content-length']);

const CONNECTION_FIELD = 'connection';
const NO_TOKENS: ReadonlySet<string> = new Set();

/** Names listed in the `Connection` fields, in lower case; they are hop-by-hop too. */
export function connectionTokens(headers: HeaderFields): ReadonlySet<string> {
  let tokens: Set<string> | undefined;
  for (const [name, value] of headers) {
    const isConnection =
      name.length === CONNECTION_FIELD.length && name.toLowerCase() === CONNECTION_FIELD;
    if (!isConnection) continue;
    tokens ??= new Set();
    for (const token of value.split(',')) tokens.add(token.trim().toLowerCase());
  }
  return tokens ?? NO_TOKENS;
}

/** Methods whose requests carry a length even when the body is empty (RFC 9110, section 8.6). */
const METHODS_WITH_BODY: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH']);

/** Fields of a caller's request to forward to the back end, with the length of the whole body. */
export function forwardRequestFields(
  method: string,
  headers: HeaderFields,
  bodyLength: number,
): HeaderFields {
  const kept = withoutHopByHop(headers, REQUEST_ONLY_FIELDS);
  if (!METHODS_WITH_BODY.has(method) && !hasBodyFraming(headers)) return kept;
  return [...kept, ['Content-Length', String(bodyLength)]];
}

/** Fields of a back end's answer to forward to the caller; framing is left to the sender. */
export function forwardAnswerFields(headers: HeaderFields): HeaderFields {
  return withoutHopByHop(headers, NO_TOKENS);
}

function hasBodyFraming(headers: HeaderFields): boolean {
  return headers.some(([name]) => {
    const lower = name.toLowerCase();
    return lower === 'content-length' || lower === 'transfer-encoding';
  });
}

function withoutHopByHop(
  headers: HeaderFields,
  alsoRemoved: ReadonlySet<string>,
): (readonly [string, string])[] {
  const tokens = connectionTokens(headers);
  return headers.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP_FIELDS.has(lower) && !alsoRemoved.has(lower) && !tokens.has(lower);
  });
}
