/**
 * Messages between nodes, and their BSON form. One frame is one BSON document; member names are
 * short because every call pays for them. See docs/design/new-machines.md, "Links".
 */
import { deserialize, serialize, setInternalBufferSize } from 'bson';
import type { AttemptOutcome, LoadReport } from '../../core/request.js';
import type { Execution, ResultCode } from '../../core/result-code.js';

/** Header fields as Node reads them: names and values in turns. */
export type RawFields = readonly string[];

/** Whether the target beside a node takes work, as its node knows it. */
export type TargetState = 'unknown' | 'ready' | 'leaving';

/** What a node says of itself when a link opens, and again when it changes. */
export interface NodeStatus {
  readonly node: string;
  readonly service: string;
  readonly target: TargetState;
  /** Life of the target, as a text that differs from life to life; absent while none is known. */
  readonly incarnation?: string;
  /** Version of the rules in force; 0: none. */
  readonly rulesVersion: number;
}

/** One try of a request, on its way to the node beside the target. */
export interface AttemptCall {
  readonly attemptId: string;
  /** Identity of the caller's request at the head of the chain of calls. */
  readonly requestId: string;
  readonly service: string;
  /** Name of the route. */
  readonly kind: string;
  /** Rank of the request's class. */
  readonly rank: number;
  readonly idempotent: boolean;
  /** Service hops above this one. */
  readonly depth: number;
  /** Whether this try, or a run above that makes the call, is a repeat. */
  readonly repeated: boolean;
  /** Whether a call for the same run, or for one above, has been served. */
  readonly committed: boolean;
  /** Milliseconds left when the message was sent. */
  readonly timeLeftMs: number;
  /** The same until the answer loses a part of its value; below 0 when that has happened. */
  readonly dueInMs: number;
  /** Service of the machine on which the request began. */
  readonly callerService: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly fields: RawFields;
  readonly body: Uint8Array;
}

/** The target's whole answer. */
export interface AttemptAnswer {
  readonly type: 'answer';
  readonly status: number;
  readonly fields: RawFields;
  readonly body: Uint8Array;
  readonly load?: LoadReport;
}

/** No answer of the target. */
export interface AttemptFailure {
  readonly type: 'failure';
  readonly outcome: AttemptOutcome;
  readonly execution: Execution;
  readonly code: ResultCode;
  readonly detail: string;
  /** Whether a byte of the request may have reached the target. */
  readonly offered: boolean;
  readonly retryAfterMs?: number;
  readonly load?: LoadReport;
}

/** How a try ended. */
export type AttemptEnd = AttemptAnswer | AttemptFailure;

/** Everything that goes over a link. */
export type LinkMessage =
  /** First message of either side; `clock` is the sender's monotonic time, in milliseconds. */
  | { readonly type: 'hello'; readonly status: NodeStatus; readonly clock: number }
  | { readonly type: 'status'; readonly status: NodeStatus }
  /** `sentAt`: time at the receiver, as the sender reckons it; see {@link PeerClock}. */
  | {
      readonly type: 'call';
      readonly id: number;
      readonly sentAt: number;
      readonly call: AttemptCall;
    }
  | { readonly type: 'cancel'; readonly id: number }
  /** `clock` as in a greeting. */
  | {
      readonly type: 'end';
      readonly id: number;
      readonly clock: number;
      readonly end: AttemptEnd;
    }
  | { readonly type: 'ping' }
  | { readonly type: 'pong' }
  | { readonly type: 'rules-wanted' }
  | { readonly type: 'rules'; readonly document: Uint8Array };

/** Largest frame, in bytes. */
export const MAX_FRAME_BYTES = 68 * 1024 * 1024;

/** Room of the codec's buffer for all but bodies, and for small bodies. */
const CODEC_BUFFER_BYTES = 1024 * 1024;
const FIELD_SEPARATOR = '\n';
const LOAD_NUMBERS = 6;
const FLOAT_BYTES = 4;
const DESERIALIZE_OPTIONS = { promoteBuffers: true };
const SERIALIZE_OPTIONS = { ignoreUndefined: true };

setInternalBufferSize(CODEC_BUFFER_BYTES);

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
}

type Document = Record<string, unknown>;

/** Encodes a message as one frame. */
export function encodeMessage(message: LinkMessage): Buffer {
  const document = toDocument(message);
  const size = 'b' in document ? (document['b'] as Uint8Array).length : 0;
  // The codec's buffer grows with the largest message and then stays.
  if (size > CODEC_BUFFER_BYTES / 2) setInternalBufferSize(size + CODEC_BUFFER_BYTES);
  const frame = serialize(document, SERIALIZE_OPTIONS) as Buffer;
  if (size > CODEC_BUFFER_BYTES / 2) setInternalBufferSize(CODEC_BUFFER_BYTES);
  return frame;
}

/** Decodes a frame; undefined when it is no message. Binary members are views into the frame. */
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
      return { ...endToDocument(message.id, message.end), n: message.clock };
    case 'ping':
      return { t: FrameCode.Ping };
    case 'pong':
      return { t: FrameCode.Pong };
    case 'rules-wanted':
      return { t: FrameCode.RulesWanted };
    case 'rules':
      return { t: FrameCode.Rules, b: message.document };
  }
}

function callToDocument(id: number, sentAt: number, call: AttemptCall): Document {
  return {
    t: FrameCode.Call,
    i: id,
    c: sentAt,
    a: call.attemptId,
    // The identity of a call mostly begins with that of the request that it is made for.
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
    m: call.method,
    p: call.path,
    h: call.fields.join(FIELD_SEPARATOR),
    b: call.body,
  };
}

function endToDocument(id: number, end: AttemptEnd): Document {
  const { load } = end;
  const l = load && loadToBytes(load);
  if (end.type === 'answer') {
    const { status, fields, body } = end;
    return { t: FrameCode.Answer, i: id, s: status, h: fields.join(FIELD_SEPARATOR), l, b: body };
  }
  const { outcome, execution, code, detail, offered, retryAfterMs } = end;
  return {
    t: FrameCode.Failure,
    i: id,
    o: outcome,
    e: execution,
    c: code,
    d: detail,
    f: offered,
    r: retryAfterMs,
    l,
  };
}

/** Six numbers of 4 bytes: an array of BSON numbers takes three times as much. */
function loadToBytes(load: LoadReport): Uint8Array {
  const { inFlight, queued, limit, latencyMs, threshold, failureShare = 0 } = load;
  const bytes = Buffer.allocUnsafe(LOAD_NUMBERS * FLOAT_BYTES);
  [inFlight, queued, limit, latencyMs, threshold, failureShare].forEach((value, index) => {
    bytes.writeFloatLE(value, index * FLOAT_BYTES);
  });
  return bytes;
}

function fromDocument(document: Document): LinkMessage | undefined {
  const id = document['i'] as number;
  switch (document['t'] as FrameCode) {
    case FrameCode.Hello:
      return {
        type: 'hello',
        status: document['s'] as NodeStatus,
        clock: document['c'] as number,
      };
    case FrameCode.Status:
      return { type: 'status', status: document['s'] as NodeStatus };
    case FrameCode.Call:
      return {
        type: 'call',
        id,
        sentAt: document['c'] as number,
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
    case FrameCode.RulesWanted:
      return { type: 'rules-wanted' };
    case FrameCode.Rules:
      return { type: 'rules', document: document['b'] as Uint8Array };
    default:
      return undefined;
  }
}

function endMessage(id: number, document: Document, end: AttemptEnd): LinkMessage {
  return { type: 'end', id, clock: document['n'] as number, end };
}

function callFromDocument(document: Document): AttemptCall {
  return {
    attemptId: document['a'] as string,
    requestId: requestIdFromDocument(document),
    service: document['s'] as string,
    kind: document['k'] as string,
    rank: document['r'] as number,
    idempotent: document['x'] as boolean,
    depth: document['d'] as number,
    repeated: document['e'] === true,
    committed: document['w'] === true,
    timeLeftMs: document['l'] as number,
    dueInMs: document['u'] as number,
    callerService: document['o'] as string,
    method: document['m'] as string,
    path: document['p'] as string,
    fields: splitFields(document['h'] as string),
    body: document['b'] as Uint8Array,
  };
}

function answerFromDocument(document: Document): AttemptAnswer {
  return {
    type: 'answer',
    status: document['s'] as number,
    fields: splitFields(document['h'] as string),
    body: document['b'] as Uint8Array,
    ...loadFromDocument(document),
  };
}

function failureFromDocument(document: Document): AttemptFailure {
  const retryAfterMs = document['r'] as number | undefined;
  return {
    type: 'failure',
    outcome: document['o'] as AttemptOutcome,
    execution: document['e'] as Execution,
    code: document['c'] as ResultCode,
    detail: document['d'] as string,
    offered: document['f'] as boolean,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...loadFromDocument(document),
  };
}

function loadFromDocument(document: Document): { readonly load?: LoadReport } {
  const bytes = document['l'] as Buffer | undefined;
  if (bytes === undefined) return {};
  const read = (index: number): number => bytes.readFloatLE(index * FLOAT_BYTES);
  const [inFlight, queued, limit, latencyMs] = [read(0), read(1), read(2), read(3)];
  return {
    load: { inFlight, queued, limit, latencyMs, threshold: read(4), failureShare: read(5) },
  };
}

function requestIdFromDocument({ a, q }: Document): string {
  return typeof q === 'number' ? (a as string).slice(0, q) : (q as string);
}

function splitFields(text: string): RawFields {
  return text === '' ? [] : text.split(FIELD_SEPARATOR);
}
