/** Bounds on what the connections of other nodes hold together. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { IncomingLinks, type BoundedLink } from './incoming-links.js';

interface TestLink extends BoundedLink {
  readonly name: string;
}

interface Harness {
  readonly links: IncomingLinks<TestLink>;
  readonly closed: string[];
  readonly hits: string[];
  add(name: string, state?: Partial<BoundedLink>): void;
}

function createHarness(): Harness {
  const closed: string[] = [];
  const hits: string[] = [];
  const limits = { connections: 2, heldBytes: 100 };
  const links = new IncomingLinks<TestLink>(limits, {
    note: (limit) => hits.push(limit),
    close: () => {},
  });
  const add = (name: string, state: Partial<BoundedLink> = {}): void => {
    const destroy = (): void => {
      closed.push(name);
    };
    links.add({ name, hasServed: true, unfinishedCount: 0, heldBytes: 0, destroy, ...state });
  };
  return { links, closed, hits, add };
}

test('a connection that never sent a message makes room for a new one', () => {
  const { links, closed, hits, add } = createHarness();
  add('node');
  add('unknown', { hasServed: false });
  assert.equal(links.makeRoom(), true);
  assert.deepEqual([closed, hits], [['unknown'], ['connections']]);
});

test('a connection of a node that has introduced itself is kept', () => {
  const { links, closed, add } = createHarness();
  add('first');
  add('second');
  assert.equal(links.makeRoom(), false);
  assert.deepEqual(closed, []);
});

test('the connections that hold most are closed until all hold no more than the bound', () => {
  const { links, closed, add } = createHarness();
  add('small', { heldBytes: 30 });
  add('large', { heldBytes: 90 });
  add('medium', { heldBytes: 60 });
  links.limitHeldBytes();
  assert.deepEqual(closed, ['large']);
});

test('one connection may hold more than the bound alone', () => {
  const { links, closed, add } = createHarness();
  add('alone', { heldBytes: 300 });
  add('other');
  links.limitHeldBytes();
  assert.deepEqual(closed, []);
});
