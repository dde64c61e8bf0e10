import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResultCode } from '../../core/result-code.js';
import { decodeMessage, encodeMessage } from './link-codec.js';
import type { LinkMessage } from './link-messages.js';
import { PeerClock } from './peer-clock.js';

const STATUS = { node: 'n', service: 's', target: 'ready', rulesVersion: 3 } as const;
const LOAD = {
  inFlight: 1,
  queued: 2,
  limit: 3,
  latencyMs: 4.5,
  threshold: 0.25,
  failureShare: 0.125,
};

const REQUEST = { content: '0123456789abcdef', caller: 'a service' };

const MESSAGES: readonly LinkMessage[] = [
  { type: 'hello', status: STATUS, clock: 12.5 },
  { type: 'status', status: STATUS },
  {
    type: 'call',
    id: 7,
    sentAt: 99.5,
    call: {
      attemptId: 'a',
      requestId: 'q',
      service: 's',
      kind: 'k',
      rank: 2,
      idempotent: true,
      depth: 1,
      repeated: true,
      committed: false,
      timeLeftMs: 10.5,
      dueInMs: 7,
      callerService: 'c',
      method: 'POST',
      path: '/p?q',
      fields: ['Host', 'h', 'X-Odd', 'ä: b'],
      body: Buffer.from('body'),
    },
  },
  {
    type: 'call',
    id: 8,
    sentAt: 99.5,
    call: {
      attemptId: 'a',
      requestId: 'a',
      service: 's',
      kind: 'k',
      rank: 2,
      idempotent: true,
      depth: 0,
      repeated: false,
      committed: false,
      timeLeftMs: 10.5,
      dueInMs: 7,
      callerService: 'c',
      authorization: { tenant: 't', fingerprint: 'abc', rulesVersion: 9, validForMs: 4_000 },
      method: 'GET',
      path: '/p',
      fields: [],
      body: Buffer.alloc(0),
    },
  },
  { type: 'cancel', id: 7 },
  {
    type: 'end',
    id: 7,
    clock: 3,
    end: { type: 'answer', status: 200, fields: [], body: Buffer.alloc(0), load: LOAD },
  },
  {
    type: 'end',
    id: 8,
    clock: 3,
    end: {
      type: 'failure',
      outcome: 'overloaded',
      execution: 'not-run',
      code: ResultCode.QueueFull,
      detail: 'full',
      offered: false,
      retryAfterMs: 100,
    },
  },
  {
    type: 'end',
    id: 7,
    clock: 3,
    end: { type: 'answer', status: 200, fields: [], body: Buffer.alloc(0), load: LOAD },
    confirmation: { version: 9, ageMs: 12 },
  },
  {
    type: 'end',
    id: 9,
    clock: 3,
    end: { type: 'answer', status: 500, fields: [], body: Buffer.alloc(0), refusedBelow: true },
  },
  {
    type: 'quota-wanted',
    question: 5,
    wanted: { group: 3, requests: [{ tenant: 't u', waiting: 1, ahead: 70_000, returned: 0 }] },
  },
  {
    type: 'quota-reply',
    question: 5,
    reply: { type: 'grants', grants: [{ tenant: 't u', granted: 9, retryAfterMs: 250 }] },
  },
  { type: 'quota-reply', question: 5, reply: { type: 'not-counting', holder: 'node-2' } },
  { type: 'quota-reply', question: 5, reply: { type: 'not-counting' } },
  { type: 'confirmation-wanted', question: 4 },
  { type: 'confirmation', question: 4, confirmation: { version: 9, ageMs: 12 } },
  { type: 'ping' },
  { type: 'pong' },
  { type: 'rules-wanted' },
  { type: 'rules', document: Buffer.from('{}') },
  {
    type: 'target-ends',
    ends: [
      { target: 'i-1 17', ageMs: 12, requests: [REQUEST, { ...REQUEST, caller: '' }] },
      { target: 'i-2', ageMs: 0, requests: [] },
    ],
  },
  { type: 'target-left', incarnation: 'i-1 17' },
  { type: 'requests-cleared', requests: [REQUEST] },
];

for (const message of MESSAGES) {
  test(`a message survives encoding and decoding: ${message.type}`, () => {
    assert.deepEqual(decodeMessage(encodeMessage(message)), message);
  });
}

const ROOT_ID = '9c41d07be2a35f68';
const NESTED_ID = `${ROOT_ID}.08879da9ac6017fc.1122334455667788`;

function createNestedCall(attemptId: string, requestId: string): LinkMessage {
  const names = { service: 'huvo11a', kind: 'r-n2ctnfz', callerService: 'kafi81c' };
  const request = { method: 'GET', path: '/leny950/2f', fields: ['Host', 'hulo84.example'] };
  const call = { attemptId, requestId, ...names, ...request, body: Buffer.alloc(0) };
  const rest = {
    rank: 2,
    idempotent: true,
    depth: 2,
    repeated: false,
    committed: false,
    timeLeftMs: 1_234.5,
    dueInMs: 7,
  };
  return { type: 'call', id: 1_234, sentAt: 99.5, call: { ...call, ...rest } };
}

test('attempt ids with and without the root request id as prefix survive encoding and decoding', () => {
  for (const [attemptId, requestId] of [
    [NESTED_ID, ROOT_ID],
    [ROOT_ID, ROOT_ID],
    ['', ''],
    ['a', 'other'],
  ] as const) {
    const sent = createNestedCall(attemptId, requestId);
    assert.deepEqual(decodeMessage(encodeMessage(sent)), sent);
  }
});

test('frames stay small, since traffic between zones is expensive', () => {
  // The frames had 358 and 246 bytes when ids were sent twice and the load as an array of BSON numbers.
  assert.ok(encodeMessage(createNestedCall(NESTED_ID, ROOT_ID)).length <= 245);
  const fields = ['X-Signature-01', '3e1b.07.5a2.600.0.c9f2a4d1', 'X-Load-of-Target', '3,0,8'];
  const answer = {
    type: 'answer',
    status: 200,
    fields,
    body: Buffer.alloc(0),
    load: LOAD,
  } as const;
  assert.ok(encodeMessage({ type: 'end', id: 1_234, clock: 99.5, end: answer }).length <= 150);
});

test('a body of 3 MB survives encoding and decoding', () => {
  const document = Buffer.alloc(3 * 1024 * 1024, 7);
  const decoded = decodeMessage(encodeMessage({ type: 'rules', document }));
  assert.deepEqual(decoded, { type: 'rules', document });
  assert.deepEqual(decodeMessage(encodeMessage({ type: 'ping' })), { type: 'ping' });
});

test('the age of a confirmation is rounded up', () => {
  const confirmation = { version: 9, ageMs: 12.2 };
  const decoded = decodeMessage(encodeMessage({ type: 'confirmation', question: 4, confirmation }));
  assert.deepEqual(decoded?.type === 'confirmation' && decoded.confirmation.ageMs, 13);
});

test('a malformed frame decodes to undefined', () => {
  assert.equal(decodeMessage(Buffer.from([5, 0, 0, 0, 0])), undefined);
  assert.equal(decodeMessage(Buffer.from([9, 9])), undefined);
});

test('the estimated peer time is never ahead and gets closer with each stamp', () => {
  const clock = new PeerClock();
  assert.equal(clock.at(5), 0);
  clock.noteStamp(100, 1_000);
  assert.equal(clock.at(150), 1_050);
  clock.noteStamp(200, 1_090);
  assert.equal(clock.at(200), 1_100);
  clock.noteStamp(300, 1_230);
  assert.equal(clock.at(300), 1_230);
});

for (const status of [0, 99, 101, 600, 200.5, Infinity]) {
  test(`an answer that an earlier version relays with the status ${status} fails its attempt only`, () => {
    const answer = { type: 'answer', status, fields: [], body: Buffer.alloc(0) } as const;
    const message = decodeMessage(encodeMessage({ type: 'end', id: 4, clock: 3, end: answer }));
    assert.ok(message?.type === 'end' && message.end.type === 'failure', JSON.stringify(message));
    const { id, end } = message;
    assert.deepEqual([id, end.execution, end.offered, end.code], [4, 'unknown', true, 3002]);
  });
}
