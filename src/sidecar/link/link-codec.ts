/**
 * BSON encoding of messages between nodes. One frame is one BSON document; member names are short
 * because they are sent with every call. See docs/design/new-machines.md, "Links".
 */
import { deserialize, serialize, setInternalBufferSize } from 'bson';
import {
  bytesMember,
  fieldsMember,
  fieldsToText,
  numberMember,
  statusMember,
  textMember,
} from './frame-members.js';
import { rejectedMembers } from './cost-codec.js';
import { answerFromDocument, endToDocument, failureFromDocument } from './end-codec.js';
import {
  keysFromDocument,
  keyToText,
  targetCrashesFromDocument,
  targetCrashToDocument,
} from './quarantine-codec.js';
import { admissionFromDocument, admissionToDocument } from '../admission/admission-codec.js';
import {
  quotaQueryFromDocument,
  quotaQueryToDocument,
  quotaReplyFromDocument,
  quotaReplyToDocument,
} from './quota-codec.js';
import type { RulesConfirmation } from '../rules/rules-freshness.js';
import type { AttemptCall, AttemptEnd, Authorization, LinkMessage } from './link-messages.js';

/** Largest accepted frame. */
export const MAX_FRAME_BYTES = 68 * 1024 * 1024;

/** Default size of the codec's buffer; the size of a large body is added to it. */
const CODEC_BUFFER_BYTES = 1024 * 1024;
const DESERIALIZE_OPTIONS = { promoteBuffers: true };
const SERIALIZE_OPTIONS = { ignoreUndefined: true };

setInternalBufferSize(CODEC_BUFFER_BYTES);

/** 19 to 21 are those of `admission-codec.ts`. */
enum FrameCode {
  Hello = 1,
  Status = 2,
  Call = 3,
  Cancel = 4,
  Answer = 5,
  Failure = 6,
  Ping = 7,
  Pong = 8,
  RulesWanted = 9,
  Rules = 10,
  TargetEnds = 11,
  RequestsCleared = 12,
  TargetLeft = 13,
  ConfirmationWanted = 14,
  Confirmation = 15,
  QuotaWanted = 16,
  QuotaReply = 17,
  TargetLimit = 18,
}

type Document = Record<string, unknown>;

/** Encodes a message as one frame. */
export function encodeMessage(message: LinkMessage): Buffer {
  const document = toDocument(message);
  const size = 'b' in document ? (document['b'] as Uint8Array).length : 0;
  // The codec's buffer grows with the largest message and never shrinks by itself.
  if (size > CODEC_BUFFER_BYTES / 2) setInternalBufferSize(size + CODEC_BUFFER_BYTES);
  const frame = serialize(document, SERIALIZE_OPTIONS) as Buffer;
  if (size > CODEC_BUFFER_BYTES / 2) setInternalBufferSize(CODEC_BUFFER_BYTES);
  return frame;
}

/** Decodes a frame; returns undefined when it is malformed. Binary members are views into the frame. */
export function decodeMessage(frame: Buffer): LinkMessage | undefined {
  try {
    return fromDocument(deserialize(frame, DESERIALIZE_OPTIONS));
  } catch {
    return undefined;
  }
}

function toDocument(message: LinkMessage): Document {
  switch (message.type) {
    case 'hello':
      return { t: FrameCode.Hello, s: message.status, c: message.clock };
    case 'status':
      return { t: FrameCode.Status, s: message.status };
    case 'call':
      return callToDocument(message.id, message.sentAt, message.call);
    case 'cancel':
      return { t: FrameCode.Cancel, i: message.id };
    case 'end':
      return {
        t: message.end.type === 'answer' ? FrameCode.Answer : FrameCode.Failure,
        i: message.id,
        ...endToDocument(message.end),
        n: message.clock,
        ...confirmationToDocument(message.confirmation),
      };
    case 'ping':
      return { t: FrameCode.Ping };
    case 'pong':
      return { t: FrameCode.Pong };
    case 'confirmation-wanted':
      return { t: FrameCode.ConfirmationWanted, i: message.question };
    case 'confirmation':
      return {
        t: FrameCode.Confirmation,
        i: message.question,
        ...confirmationToDocument(message.confirmation),
      };
    case 'quota-wanted':
      return {
        t: FrameCode.QuotaWanted,
        i: message.question,
        ...quotaQueryToDocument(message.wanted),
      };
    case 'quota-reply':
      return {
        t: FrameCode.QuotaReply,
        i: message.question,
        ...quotaReplyToDocument(message.reply),
      };
    case 'rules-wanted':
      return { t: FrameCode.RulesWanted };
    case 'rules':
      return { t: FrameCode.Rules, b: message.document };
    case 'target-left':
      return { t: FrameCode.TargetLeft, l: message.incarnation };
    case 'target-limit': {
      const { incarnation, requestsPerSecond } = message;
      return { t: FrameCode.TargetLimit, l: incarnation, r: requestsPerSecond };
    }
    case 'target-ends':
      return { t: FrameCode.TargetEnds, e: message.ends.map(targetCrashToDocument) };
    case 'requests-cleared':
      return { t: FrameCode.RequestsCleared, f: message.requests.map(keyToText) };
    default:
      return admissionToDocument(message);
  }
}

function callToDocument(id: number, sentAt: number, call: AttemptCall): Document {
  return {
    t: FrameCode.Call,
    i: id,
    c: sentAt,
    a: call.attemptId,
    // An attempt id mostly begins with the id of its root request; then the length of that prefix is sent.
    q: call.attemptId.startsWith(call.requestId) ? call.requestId.length : call.requestId,
    s: call.service,
    k: call.kind,
    r: call.rank,
    x: call.idempotent,
    d: call.depth,
    e: call.repeated ? true : undefined,
    w: call.committed ? true : undefined,
    l: call.timeLeftMs,
    u: Math.round(call.dueInMs),
    o: call.callerService,
    ...authorizationToDocument(call.authorization),
    m: call.method,
    p: call.path,
    h: fieldsToText(call.fields),
    b: call.body,
  };
}

function authorizationToDocument(authorization: Authorization | undefined): Document {
  if (authorization === undefined) return {};
  const { tenant, fingerprint, rulesVersion, validForMs } = authorization;
  return { n: tenant, f: fingerprint, v: rulesVersion, g: Math.floor(validForMs) };
}

function fromDocument(document: Document): LinkMessage | undefined {
  const id = document['i'] as number;
  switch (document['t'] as FrameCode) {
    case FrameCode.Hello:
      return {
        type: 'hello',
        status: statusMember(document['s']),
        clock: numberMember(document['c']),
      };
    case FrameCode.Status:
      return { type: 'status', status: statusMember(document['s']) };
    case FrameCode.Call:
      return {
        type: 'call',
        id,
        sentAt: numberMember(document['c']),
        call: callFromDocument(document),
      };
    case FrameCode.Cancel:
      return { type: 'cancel', id };
    case FrameCode.Answer:
      return endMessage(id, document, answerFromDocument(document));
    case FrameCode.Failure:
      return endMessage(id, document, failureFromDocument(document));
    case FrameCode.Ping:
      return { type: 'ping' };
    case FrameCode.Pong:
      return { type: 'pong' };
    case FrameCode.ConfirmationWanted:
      return { type: 'confirmation-wanted', question: id };
    case FrameCode.Confirmation:
      return confirmationMessage(id, document);
    case FrameCode.QuotaWanted:
      return { type: 'quota-wanted', question: id, wanted: quotaQueryFromDocument(document) };
    case FrameCode.QuotaReply:
      return { type: 'quota-reply', question: id, reply: quotaReplyFromDocument(document) };
    case FrameCode.RulesWanted:
      return { type: 'rules-wanted' };
    case FrameCode.Rules:
      return { type: 'rules', document: bytesMember(document['b']) };
    case FrameCode.TargetLeft:
      return { type: 'target-left', incarnation: textMember(document['l']) };
    case FrameCode.TargetLimit:
      return targetLimitFromDocument(document);
    case FrameCode.TargetEnds:
      return { type: 'target-ends', ends: targetCrashesFromDocument(document) };
    case FrameCode.RequestsCleared:
      return { type: 'requests-cleared', requests: keysFromDocument(document['f']) };
    default:
      return admissionFromDocument(document);
  }
}

function targetLimitFromDocument({
  l: incarnation,
  r: requestsPerSecond,
}: Document): LinkMessage | undefined {
  if (typeof incarnation !== 'string' || typeof requestsPerSecond !== 'number') return undefined;
  return requestsPerSecond >= 0
    ? { type: 'target-limit', incarnation, requestsPerSecond }
    : undefined;
}

function endMessage(id: number, document: Document, end: AttemptEnd): LinkMessage {
  const confirmation = confirmationFromDocument(document);
  const rejected = rejectedMembers(document, end);
  const message = {
    type: 'end',
    id,
    clock: numberMember(document['n']),
    end,
    ...rejected,
  } as const;
  return confirmation === undefined ? message : { ...message, confirmation };
}

function confirmationMessage(question: number, document: Document): LinkMessage | undefined {
  const confirmation = confirmationFromDocument(document);
  return confirmation && { type: 'confirmation', question, confirmation };
}

function confirmationToDocument(confirmation: RulesConfirmation | undefined): Document {
  if (confirmation === undefined) return {};
  // Rounded up, since a confirmation must never seem more recent than it is.
  return { v: confirmation.version, g: Math.ceil(confirmation.ageMs) };
}

function confirmationFromDocument({
  v: version,
  g: ageMs,
}: Document): RulesConfirmation | undefined {
  if (typeof version !== 'number' || typeof ageMs !== 'number' || !(ageMs >= 0)) return undefined;
  return { version, ageMs };
}

function callFromDocument(document: Document): AttemptCall {
  return {
    attemptId: textMember(document['a']),
    requestId: requestIdFromDocument(document),
    service: textMember(document['s']),
    kind: textMember(document['k']),
    rank: numberMember(document['r']),
    idempotent: document['x'] === true,
    depth: numberMember(document['d']),
    repeated: document['e'] === true,
    committed: document['w'] === true,
    timeLeftMs: numberMember(document['l']),
    dueInMs: numberMember(document['u']),
    callerService: textMember(document['o']),
    ...authorizationFromDocument(document),
    method: textMember(document['m']),
    path: textMember(document['p']),
    fields: fieldsMember(document['h']),
    body: bytesMember(document['b']),
  };
}

function authorizationFromDocument({ n: tenant, f, v, g }: Document): {
  readonly authorization?: Authorization;
} {
  if (tenant === undefined) return {};
  const authorization = {
    tenant: textMember(tenant),
    fingerprint: textMember(f),
    rulesVersion: numberMember(v),
    validForMs: numberMember(g),
  };
  return { authorization };
}

function requestIdFromDocument({ a, q }: Document): string {
  return typeof q === 'number' ? textMember(a).slice(0, q) : textMember(q);
}
