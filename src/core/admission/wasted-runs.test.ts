import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import type { RequestContext } from '../request.js';
import { WastedRuns } from './wasted-runs.js';

const REQUEST: RequestContext = {
  requestId: 'r',
  tenant: '',
  service: 's',
  kind: 'k',
  criticality: 'normal',
  deadline: 1_000,
  idempotent: true,
  depth: 0,
};

let runs: WastedRuns;

beforeEach(() => {
  runs = new WastedRuns();
});

function noteWastedRuns(count: number, now = 0): void {
  for (let index = 0; index < count; index += 1) runs.note(now, REQUEST);
}

function refusedShare(count: number, now: number): number {
  let refused = 0;
  for (let index = 0; index < count; index += 1) {
    if (runs.refuses(now, { ...REQUEST, requestId: `request-${index}` })) refused += 1;
  }
  return refused / count;
}

test('nothing is refused before a run was wasted', () => {
  assert.equal(refusedShare(1_000, 0), 0);
});

test('the refused share rises with wasted runs, and selects the same requests each time', () => {
  noteWastedRuns(1);
  const riseOfOneRun = runs.shareOf(0, REQUEST);
  assert.ok(riseOfOneRun > 0);
  noteWastedRuns(39);
  const share = runs.shareOf(0, REQUEST);
  assert.ok(Math.abs(share - 40 * riseOfOneRun) < 0.001);
  assert.ok(Math.abs(refusedShare(2_000, 0) - share) < 0.05);
  const request = { ...REQUEST, requestId: 'one of them' };
  assert.equal(runs.refuses(0, request), runs.refuses(0, request));
});

test('other kinds, and other classes of the kind, are not refused', () => {
  noteWastedRuns(90);
  assert.equal(runs.shareOf(0, { ...REQUEST, kind: 'other' }), 0);
  assert.equal(runs.shareOf(0, { ...REQUEST, criticality: 'critical' }), 0);
});

test('the share falls with time, whether requests come or not', () => {
  noteWastedRuns(90);
  const before = runs.shareOf(0, REQUEST);
  assert.ok(runs.shareOf(5_000, REQUEST) < before);
  assert.equal(runs.shareOf(60_000, REQUEST), 0);
});

test('some requests always pass to find out whether capacity is free again', () => {
  noteWastedRuns(10_000);
  assert.ok(refusedShare(2_000, 0) < 1);
});
