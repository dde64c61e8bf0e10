/** BSON encoding of how attempts ended. Decoding throws when a member has another type than it should. */
import { isFinalStatus } from '../../core/http-status.js';
import type { AttemptOutcome, LoadReport } from '../../core/request.js';
import { ResultCode, type Execution } from '../../core/result-code.js';
import { createAttemptFailure } from './attempt-port.js';
import { costFromDocument, costToBytes, shortServiceFromDocument } from './cost-codec.js';
import {
  bytesMember,
  fieldsMember,
  fieldsToText,
  numberMember,
  textMember,
} from './frame-members.js';
import type { AttemptEnd, AttemptFailure } from './link-messages.js';
import { loadFromBytes, loadToBytes } from './load-codec.js';

type Document = Record<string, unknown>;

/** Returns the document members of an end. */
export function endToDocument(end: AttemptEnd): Document {
  const { load } = end;
  const l = load && loadToBytes(load);
  const y = load?.shortService;
  if (end.type === 'answer') {
    const { status, fields, body, refusedBelow, cost } = end;
    const z = cost && costToBytes(cost);
    return { s: status, h: fieldsToText(fields), l, w: refusedBelow, y, z, b: body };
  }
  const { outcome, execution, code, detail, offered, retryAfterMs } = end;
  return { o: outcome, e: execution, c: code, d: detail, f: offered, r: retryAfterMs, l, y };
}

/** Decodes an answer; nodes of earlier versions relay any number of three digits as its status. */
export function answerFromDocument(document: Document): AttemptEnd {
  const { s: status } = document;
  if (!isFinalStatus(status)) return createNoFinalStatusFailure(status);
  return {
    type: 'answer',
    status,
    fields: fieldsMember(document['h']),
    body: bytesMember(document['b']),
    ...loadFromDocument(document),
    ...(document['w'] === true ? { refusedBelow: true } : {}),
    ...costFromDocument(document),
  };
}

function createNoFinalStatusFailure(status: unknown): AttemptFailure {
  return createAttemptFailure({
    outcome: 'failed',
    execution: 'unknown',
    code: ResultCode.AnswerIncomplete,
    detail: `the answer has no final status: ${String(status)}`,
    offered: true,
  });
}

/** Decodes a failure. */
export function failureFromDocument(document: Document): AttemptFailure {
  const { r: retryAfterMs } = document;
  return {
    type: 'failure',
    outcome: textMember(document['o']) as AttemptOutcome,
    execution: textMember(document['e']) as Execution,
    code: numberMember(document['c']),
    detail: textMember(document['d']),
    offered: document['f'] === true,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs: numberMember(retryAfterMs) }),
    ...loadFromDocument(document),
  };
}

function loadFromDocument(document: Document): { readonly load?: LoadReport } {
  const bytes = document['l'];
  if (bytes === undefined) return {};
  const load = loadFromBytes(bytes as Buffer);
  return { load: { ...load, ...shortServiceFromDocument(document) } };
}
