import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { RevisionRecord } from './config-store.js';
import { InMemoryConfigStore } from './in-memory-config-store.js';
import { createSampleRules } from '../../test/support/sample-rules.js';
import { parseRules, type Rules } from './rules.js';

function createRules(tenant: string, host?: string, target?: string): Rules {
  const document = createSampleRules({ tenant, ...(host && { host }), ...(target && { target }) });
  const parsed = parseRules(document);
  assert.ok(parsed.isOk);
  return parsed.value;
}

function createRecord(
  tenant: string,
  revision: number,
  version: number,
  rules = createRules(tenant),
  createdVersion = version,
): RevisionRecord {
  const operationId = `${tenant}-${revision}`;
  const origin = { operationId, author: 'test', acceptedAtMs: 0 };
  return { tenant, revision, version, createdVersion, rules, ...origin };
}

test('revisions of a tenant only rise, whatever the order of offers', () => {
  const offers = fc.array(
    fc.record({ tenant: fc.constantFrom('a', 'b'), revision: fc.integer({ min: 1, max: 20 }) }),
  );
  const property = fc.property(offers, (sequence) => {
    const store = new InMemoryConfigStore();
    for (const { tenant, revision } of sequence) {
      const before = store.find(tenant)?.revision ?? 0;
      const taken = store.offer(createRecord(tenant, revision, revision * 2));
      assert.equal(taken, revision > before);
      assert.equal(store.find(tenant)?.revision, Math.max(before, revision));
    }
    const highest = Math.max(0, ...sequence.map(({ revision }) => revision * 2));
    assert.equal(store.version, highest);
  });
  fc.assert(property, { seed: 1 });
});

test('a host is found whatever its case and port', () => {
  const store = new InMemoryConfigStore();
  store.offer(createRecord('a', 1, 1, createRules('a', 'Guide.Test')));
  const cases = ['guide.test', 'GUIDE.test:8080', 'Guide.Test.', 'guide.test:'];
  for (const host of cases) assert.equal(store.findServiceByHost(host)?.tenant, 'a', host);
  for (const host of ['other.test', '', 'guide.test:80:80', '[::1]:80']) {
    assert.equal(store.findServiceByHost(host), undefined, host);
  }
});

test('the longest prefix wins, then a given method', () => {
  const store = new InMemoryConfigStore();
  store.offer(createRecord('a', 1, 1));
  const service = store.findService('a', 'guide')!;
  const cases = [
    ['GET', '/', 'any'],
    ['GET', '/steps/1?x=/', 'step'],
    ['POST', '/steps/1', 'step-write'],
    ['GET', '/other?p=/steps/', 'any'],
    ['GET', '*', undefined],
  ] as const;
  for (const [method, path, expected] of cases) {
    assert.equal(store.findKind(service, method, path)?.name, expected, `${method} ${path}`);
  }
});

test('a host and a target claimed twice stay with the older tenant in every order', () => {
  const older = createRecord('zebra', 7, 90, createRules('zebra', 'shared.test', 'shared'), 10);
  const newer = createRecord('ant', 1, 20, createRules('ant', 'shared.test', 'shared'), 20);
  for (const order of [
    [older, newer],
    [newer, older],
  ]) {
    const store = new InMemoryConfigStore();
    for (const record of order) store.offer(record);
    assert.equal(store.findServiceByHost('shared.test')?.tenant, 'zebra');
    assert.equal(store.findTarget('shared')?.tenant, 'zebra');
  }
});

test('listeners are called for changes only, until they unsubscribe', () => {
  const store = new InMemoryConfigStore();
  let calls = 0;
  const unsubscribe = store.subscribe(() => (calls += 1));
  store.offer(createRecord('a', 1, 1));
  store.offer(createRecord('a', 1, 1));
  unsubscribe();
  store.offer(createRecord('a', 2, 2));
  assert.equal(calls, 1);
});
