import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RevisionRecord } from '../config/config-store.js';
import { InMemoryConfigStore } from '../config/in-memory-config-store.js';
import { parseRules } from '../config/rules.js';
import { createRulesDocument } from '../../test/support/test-admin.js';
import { watchRevisions } from './revision-watch.js';

function createRecord(tenant: string, revision: number, version: number): RevisionRecord {
  const rules = parseRules(createRulesDocument(tenant)).unwrapOrElse((failure) =>
    assert.fail(failure.detail),
  );
  const operationId = `op-${version}`;
  return { tenant, revision, version, operationId, author: 'ana', acceptedAtMs: 0, rules };
}

/** Reads up to `count` records; calls `react` after each. */
async function read(
  records: AsyncGenerator<RevisionRecord>,
  count: number,
  react: (read: number) => void = () => {},
): Promise<string[]> {
  const seen: string[] = [];
  while (seen.length < count) {
    const next = await records.next();
    if (next.done === true) break;
    seen.push(`${next.value.tenant}@${next.value.revision}`);
    react(seen.length);
  }
  return seen;
}

test('a change of one tenant does not send the others again', async () => {
  const store = new InMemoryConfigStore();
  store.offer(createRecord('a', 1, 1));
  store.offer(createRecord('b', 1, 2));
  const records = watchRevisions(store, undefined, new AbortController().signal);
  const seen = await read(records, 4, (count) => {
    if (count === 2) store.offer(createRecord('b', 2, 3));
    if (count === 3) store.offer(createRecord('a', 2, 4));
  });
  assert.deepEqual(seen, ['a@1', 'b@1', 'b@2', 'a@2']);
});

test('a change while the reader is busy is not lost', async () => {
  const store = new InMemoryConfigStore();
  store.offer(createRecord('a', 1, 1));
  const records = watchRevisions(store, 'a', new AbortController().signal);
  const seen = await read(records, 2, (count) => {
    if (count > 1) return;
    store.offer(createRecord('a', 2, 2));
    store.offer(createRecord('a', 3, 3));
  });
  assert.deepEqual(seen, ['a@1', 'a@3']);
});

test('a watch of one tenant skips the others, and abort ends the stream', async () => {
  const store = new InMemoryConfigStore();
  store.offer(createRecord('a', 1, 1));
  store.offer(createRecord('b', 1, 2));
  const stop = new AbortController();
  const records = watchRevisions(store, 'b', stop.signal);
  assert.deepEqual(await read(records, 1), ['b@1']);
  const end = records.next();
  stop.abort();
  assert.equal((await end).done, true);
});

test('a waiting watch reads the store once for each change', async () => {
  let reads = 0;
  class CountingStore extends InMemoryConfigStore {
    override records(): readonly RevisionRecord[] {
      reads += 1;
      return super.records();
    }
  }
  const store = new CountingStore();
  const stop = new AbortController();
  const records = watchRevisions(store, undefined, stop.signal);
  const first = records.next();
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(reads, 1);
  store.offer(createRecord('a', 1, 1));
  assert.equal((await first).done, false);
  assert.equal(reads, 2);
  await records.return(undefined);
});
