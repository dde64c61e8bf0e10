import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ClaimRound, type ClaimVerdict } from './claim-coordinator.js';
import { checkKey } from './claim-key.js';
import type { PlacementRecord, Vote } from './placement.js';
import type { ReplicaReply } from './replica-messages.js';
import { ResultCode } from '../result-code.js';

const RECORD: PlacementRecord = {
  epoch: 4,
  members: ['a', 'b', 'c'].map((nodeId) => ({ nodeId, incarnation: 1 })),
  fresh: false,
  floorMs: 0,
};
const ANSWER = { status: 200, headers: [], body: new Uint8Array() };

function grant(nodeId: string, incarnation = 1, known: Record<string, number> = {}): ReplicaReply {
  const incarnations = { a: 1, b: 1, c: 1, [nodeId]: incarnation, ...known };
  const list = Object.entries(incarnations).map(([id, each]) => ({
    nodeId: id,
    incarnation: each,
  }));
  const vote: Vote = { nodeId, incarnation, epoch: 4, known: list };
  return { type: 'granted', vote };
}

const HELD: ReplicaReply = { type: 'held', attemptId: 'other' };
const NO_REPLY = undefined;

type Case = readonly [
  name: string,
  replies: Readonly<Record<string, ReplicaReply | undefined>>,
  verdict: ClaimVerdict['type'],
];

const CASES: readonly Case[] = [
  ['two grants that agree', { a: grant('a'), b: grant('b') }, 'granted'],
  ['one grant so far', { a: grant('a') }, 'waiting'],
  ['one grant, two without a reply', { a: grant('a'), b: NO_REPLY, c: NO_REPLY }, 'undecided'],
  ['a grant from before a restart', { a: grant('a'), b: grant('b', 1, { a: 2 }) }, 'waiting'],
  ['only one knows the other', { a: grant('a', 2), b: grant('b'), c: NO_REPLY }, 'undecided'],
  ['the third agrees', { a: grant('a', 2), b: grant('b'), c: grant('c') }, 'granted'],
  ['held at a majority', { a: HELD, b: HELD }, 'in-progress'],
  ['held at one', { a: HELD, b: grant('b') }, 'waiting'],
  ['split', { a: HELD, b: grant('b'), c: NO_REPLY }, 'undecided'],
  ['tables in conflict', { a: { type: 'held', attemptId: '' } }, 'in-progress'],
  ['finished with answer', { a: { type: 'finished', attemptId: 'x', answer: ANSWER } }, 'finished'],
  ['finished, answer elsewhere?', { a: { type: 'finished', attemptId: 'x' } }, 'waiting'],
  ['other request', { a: { type: 'reused' }, b: grant('b'), c: grant('c') }, 'reused'],
  ['too old', { a: { type: 'expired' } }, 'expired'],
  ['nobody votes', { a: { type: 'not-voting' }, b: NO_REPLY, c: { type: 'full' } }, 'undecided'],
];

test('verdict of a round by the replies so far', () => {
  for (const [name, replies, expected] of CASES) {
    const round = new ClaimRound(RECORD);
    for (const [nodeId, reply] of Object.entries(replies)) round.onReply(nodeId, reply);
    assert.equal(round.verdict().type, expected, name);
  }
});

test('later replies do not grant a round that has been given up', () => {
  const round = new ClaimRound(RECORD);
  round.onReply('a', grant('a'));
  round.giveUp();
  round.onReply('b', grant('b'));
  assert.equal(round.verdict().type, 'undecided');
  assert.equal(round.provesNoEarlierAttempt, true);
});

test('keys are checked by form and age', () => {
  const now = 1_764_000_000_000;
  const create = (time: number): string => {
    const hex = time.toString(16).padStart(12, '0');
    return `${hex.slice(0, 8)}-${hex.slice(8)}-7abc-9abc-0123456789ab`;
  };
  const cases: readonly (readonly [string, ResultCode | undefined])[] = [
    [create(now), undefined],
    [create(now).toUpperCase(), undefined],
    [create(now + 30_000), undefined],
    [create(now + 30_001), ResultCode.InvalidField],
    [create(now - 300_000), undefined],
    [create(now - 300_001), ResultCode.IdempotencyKeyExpired],
    [create(now).replace('-7', '-4'), ResultCode.InvalidField],
    ['', ResultCode.InvalidField],
    [`${create(now)} `, ResultCode.InvalidField],
  ];
  for (const [key, code] of cases) {
    const checked = checkKey(key, now);
    assert.equal(checked.isErr ? checked.error.code : undefined, code, key);
  }
});
