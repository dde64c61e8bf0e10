import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import { silentEventLog } from '../kernel/event.js';
import { KeyValueStore } from '../stand-ins/platform/key-value-store.js';
import { InMemoryPlatform, type WriteOutcome } from '../../test/support/in-memory-platform.js';
import { createSampleRules } from '../../test/support/sample-rules.js';
import type { RevisionRecord } from './config-store.js';
import { PlatformRulesRepository } from './platform-rules-repository.js';
import type { ApplyRequest } from './rules-repository.js';
import { historyKey } from './stored-revision.js';

const { RevisionConflict, WriteOutcomeUnknown, PlatformUnavailable, RulesInvalid } = ResultCode;
const { TenantMismatch, InvalidArgument, IdempotencyKeyReused, RevisionNotFound } = ResultCode;

/** A clock that skips every pause. */
function createJumpingClock(step: () => Promise<void> = () => Promise.resolve()): Clock {
  let now = 0;
  return {
    now: () => now,
    wallNow: () => now,
    bootNow: () => now,
    schedule: (delayMs, callback) => {
      void step().then(() => {
        now += delayMs;
        callback();
      });
      return () => {};
    },
  };
}

function createRepository(
  platform: InMemoryPlatform,
  clock = createJumpingClock(),
  onSnapshot: (records: readonly RevisionRecord[]) => void = () => {},
): PlatformRulesRepository {
  return new PlatformRulesRepository({ platform, clock, log: silentEventLog, seed: 1, onSnapshot });
}

function createRequest(operationId: string, changes: Partial<ApplyRequest> = {}): ApplyRequest {
  const document = createSampleRules({ tenant: 'recife' });
  const base = { tenant: 'recife', document, expectedRevision: 0, author: 'ana' };
  return { ...base, operationId, ...changes };
}

async function applyCode(
  repository: PlatformRulesRepository,
  request: ApplyRequest,
): Promise<string> {
  const result = await repository.apply(request);
  return result.isOk ? `revision ${result.value.revision}` : ResultCode[result.error.code];
}

const inputCases: readonly (readonly [string, Partial<ApplyRequest>, ResultCode])[] = [
  ['not YAML', { document: '{' }, RulesInvalid],
  ['another tenant', { tenant: 'trondheim' }, TenantMismatch],
  ['empty operation id', { operationId: '' }, InvalidArgument],
  ['operation id with a slash', { operationId: 'a/b' }, InvalidArgument],
  ['negative revision', { expectedRevision: -1 }, InvalidArgument],
  ['fraction of a revision', { expectedRevision: 0.5 }, InvalidArgument],
  ['long author', { author: 'x'.repeat(257) }, InvalidArgument],
  ['too new a revision', { expectedRevision: 3 }, RevisionConflict],
];

test('invalid input is rejected without a write', async () => {
  for (const [name, changes, code] of inputCases) {
    const platform = new InMemoryPlatform();
    const request = createRequest('op', changes);
    assert.equal(await applyCode(createRepository(platform), request), ResultCode[code], name);
    assert.equal(platform.store.revision, 1, name);
  }
});

/** Outcomes of the first writes, what apply returns, and what a retry of the operation returns. */
const writeCases: readonly (readonly [readonly WriteOutcome[], string, string])[] = [
  [[], 'revision 1', 'revision 1'],
  [['lost-after'], 'revision 1', 'revision 1'],
  [['lost-before'], 'revision 1', 'revision 1'],
  [['late'], 'revision 1', 'revision 1'],
  [['late', 'lost-after'], 'revision 1', 'revision 1'],
  [['refused'], ResultCode[PlatformUnavailable], 'revision 1'],
  [['lost-before', 'refused'], 'revision 1', 'revision 1'],
];

test('the outcome of a write is found by reading back, and the write takes effect once', async () => {
  for (const [outcomes, first, retried] of writeCases) {
    const name = outcomes.join(', ');
    const left = [...outcomes];
    const platform = new InMemoryPlatform(undefined, { nextWrite: () => left.shift() ?? 'ok' });
    const repository = createRepository(platform);
    assert.equal(await applyCode(repository, createRequest('op')), first, name);
    platform.deliverLate();
    assert.equal(await applyCode(repository, createRequest('op')), retried, name);
    const records = (await repository.history('recife', 9)).unwrapOr([]);
    assert.deepEqual(
      records.map(({ operationId }) => operationId),
      ['op'],
      name,
    );
  }
});

test('an outcome that cannot be determined is unknown, and a retry determines it', async () => {
  for (const outcome of ['lost-after', 'lost-before'] as const) {
    let isDown = false;
    const plan = {
      nextWrite: () => {
        isDown = true;
        return outcome;
      },
      nextReadFails: () => isDown,
    };
    const store = new KeyValueStore();
    const broken = createRepository(new InMemoryPlatform(store, plan));
    assert.equal(await applyCode(broken, createRequest('op')), ResultCode[WriteOutcomeUnknown]);
    const healthy = createRepository(new InMemoryPlatform(store));
    assert.equal(await applyCode(healthy, createRequest('op')), 'revision 1');
    assert.equal(await applyCode(healthy, createRequest('op')), 'revision 1');
  }
});

test('a retried operation returns its first result even after later changes', async () => {
  const repository = createRepository(new InMemoryPlatform());
  const first = (await repository.apply(createRequest('op-1'))).unwrapOr(undefined);
  const other = {
    expectedRevision: 1,
    document: createSampleRules({ tenant: 'recife', slots: 9 }),
  };
  assert.equal(await applyCode(repository, createRequest('op-10', other)), 'revision 2');
  const retried = (await repository.apply(createRequest('op-1'))).unwrapOr(undefined);
  assert.deepEqual(retried, first);
  const rebased = (await repository.apply(createRequest('op-1', { expectedRevision: 2 }))).unwrapOr(
    undefined,
  );
  assert.deepEqual(rebased, first);
  assert.equal((await repository.get('recife')).unwrapOr(undefined)?.revision, 2);
  const reused = createRequest('op-1', { document: other.document });
  assert.equal(await applyCode(repository, reused), ResultCode[IdempotencyKeyReused]);
});

test('a conflict names the current revision', async () => {
  const repository = createRepository(new InMemoryPlatform());
  await repository.apply(createRequest('op-1'));
  const result = await repository.apply(createRequest('op-2'));
  assert.ok(result.isErr);
  assert.equal(result.error.code, RevisionConflict);
  assert.equal(result.error.currentRevision, 1);
});

test('a host of another tenant is rejected, with its path', async () => {
  const repository = createRepository(new InMemoryPlatform());
  await repository.apply(createRequest('op-1'));
  const document = createSampleRules({ tenant: 'other', host: 'RECIFE.test:80' });
  const result = await repository.apply(createRequest('op-2', { tenant: 'other', document }));
  assert.ok(result.isErr);
  assert.deepEqual(result.error.violations, [
    { path: 'services.0.hosts.0', message: 'host recife.test belongs to tenant recife' },
  ]);
});

test('history is newest first over several blocks; single revisions are found', async () => {
  const repository = createRepository(new InMemoryPlatform());
  for (let revision = 0; revision < 23; revision += 1) {
    await repository.apply(createRequest(`op-${revision}`, { expectedRevision: revision }));
  }
  const revisions = (await repository.history('recife', 15)).unwrapOr([]);
  assert.deepEqual(
    revisions.map(({ revision }) => revision),
    [23, 22, 21, 20, 19, 18, 17, 16, 15, 14, 13, 12, 11, 10, 9],
  );
  assert.equal((await repository.get('recife', 7)).unwrapOr(undefined)?.operationId, 'op-6');
  assert.equal((await repository.get('recife')).unwrapOr(undefined)?.revision, 23);
  const missing = await repository.get('recife', 24);
  assert.equal(missing.isErr && missing.error.code, RevisionNotFound);
});

/** Operators race with the same expected revision; answers are lost and writes late, in any order. */
test('races: one operation wins, none takes effect twice, and the results match the store', async () => {
  const outcomes = fc.array(
    fc.constantFrom<WriteOutcome>('ok', 'lost-before', 'lost-after', 'late'),
    {
      maxLength: 8,
    },
  );
  const property = fc.asyncProperty(fc.scheduler(), outcomes, async (scheduler, planned) => {
    const left = [...planned];
    const step = () => scheduler.schedule(Promise.resolve());
    const plan = { nextWrite: () => left.shift() ?? 'ok', step };
    const platform = new InMemoryPlatform(undefined, plan);
    const operators = ['op-1', 'op-2', 'op-3'].map(async (operationId) => {
      const repository = createRepository(platform, createJumpingClock(step));
      return { operationId, code: await applyCode(repository, createRequest(operationId)) };
    });
    const results = await scheduler.waitFor(Promise.all(operators));
    platform.deliverLate();
    const observer = createRepository(new InMemoryPlatform(platform.store));
    const kept = (await observer.history('recife', 9)).unwrapOr([]);
    const settled = results.filter(({ code }) => code !== ResultCode[WriteOutcomeUnknown]);
    const winners = settled.filter(({ code }) => code === 'revision 1');
    assert.ok(kept.length <= 1);
    assert.ok(winners.length <= 1);
    for (const { operationId, code } of settled) {
      const isKept = kept.some((record) => record.operationId === operationId);
      assert.equal(isKept, code === 'revision 1', `${operationId}: ${code}`);
    }
    assert.equal(platform.store.range({ key: historyKey('recife', 2) }).count, 0);
  });
  await fc.assert(property, { seed: 1, numRuns: 300 });
});

test('concurrent changes of several tenants all succeed, and each snapshot is complete', async () => {
  const property = fc.asyncProperty(fc.scheduler(), async (scheduler) => {
    const step = () => scheduler.schedule(Promise.resolve());
    const platform = new InMemoryPlatform(undefined, { step });
    const snapshots: (readonly RevisionRecord[])[] = [];
    const changes = ['ana', 'bo', 'cy'].map((tenant) => {
      const keep = (records: readonly RevisionRecord[]) => snapshots.push(records);
      const repository = createRepository(platform, createJumpingClock(step), keep);
      const document = createSampleRules({ tenant });
      return applyCode(repository, createRequest('op', { tenant, document }));
    });
    const codes = await scheduler.waitFor(Promise.all(changes));
    assert.deepEqual(codes, ['revision 1', 'revision 1', 'revision 1']);
    for (const records of snapshots) {
      const versions = records.map(({ version }) => version);
      // The store starts at revision 1; changes are 2, 3 and 4.
      assert.deepEqual(new Set(versions), new Set([2, 3, 4].slice(0, versions.length)));
    }
  });
  await fc.assert(property, { seed: 1, numRuns: 100 });
});
