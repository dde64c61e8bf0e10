import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isGroupLost, type MemberObservation } from './group-loss.js';

const SAME: MemberObservation = { type: 'answer', incarnation: 1, status: 'voting' };
const RESTARTED: MemberObservation = { type: 'answer', incarnation: 2, status: 'recovering' };
const RECOVERED: MemberObservation = { type: 'answer', incarnation: 2, status: 'voting' };
const SILENT: MemberObservation = { type: 'silent' };
const GONE: MemberObservation = { type: 'gone' };

const CASES: readonly (readonly [readonly MemberObservation[], boolean])[] = [
  [[SAME, SAME, SAME], false],
  [[SAME, SAME, GONE], false],
  [[SAME, SAME, RESTARTED], false],
  [[SAME, SILENT, SILENT], false],
  [[RESTARTED, SILENT, SILENT], false],
  [[SAME, RECOVERED, RESTARTED], false],
  [[SAME, RESTARTED, SILENT], false],
  [[SAME, RESTARTED, RESTARTED], true],
  [[SAME, RESTARTED, GONE], true],
  [[SAME, GONE, GONE], true],
  [[RESTARTED, RESTARTED, RESTARTED], true],
  [[SAME, RESTARTED], false],
  [[SAME, SILENT], false],
  [[SAME, GONE], true],
  [[RESTARTED, RESTARTED], true],
  [[RESTARTED], true],
  [[SILENT], false],
];

test('a group is lost when no majority can vote or agree any longer', () => {
  for (const [members, expected] of CASES) {
    const ids = members.map((_, index) => `n${index}`);
    const record = {
      epoch: 1,
      members: ids.map((nodeId) => ({ nodeId, incarnation: 1 })),
      fresh: true,
      floorMs: 0,
    };
    const observations = new Map(ids.map((id, index) => [id, members[index]!]));
    assert.equal(isGroupLost(record, observations), expected, JSON.stringify(members));
  }
});
