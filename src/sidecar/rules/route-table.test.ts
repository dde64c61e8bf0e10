import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RouteTable } from './route-table.js';
import {
  checkRules,
  criticalityOf,
  criticalityOfRank,
  type RouteRules,
  type RoutingRules,
} from './routing-rules.js';

function route(overrides: Partial<RouteRules>): RouteRules {
  return {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/x/',
    idempotent: true,
    rank: 1,
    timeoutMs: 1_000,
    aimMs: 500,
    maxAttempts: 2,
    shares: [{ service: 's', weight: 1 }],
    isPublic: false,
    ...overrides,
  };
}

function rules(routes: readonly RouteRules[]): RoutingRules {
  const service = { healthPath: '/health', maxConnections: 10 };
  return {
    version: 1,
    routes,
    services: new Map([
      ['s', service],
      ['t', service],
    ]),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

test('finds the route with the longest matching prefix of the host', () => {
  const table = new RouteTable(
    rules([route({ name: 'short' }), route({ name: 'long', pathPrefix: '/x/y/' })]),
  );
  assert.equal(table.find('a.example', '/x/y/z?q=1')?.rules.name, 'long');
  assert.equal(table.find('A.example:80', '/x/1')?.rules.name, 'short');
  assert.equal(table.find('a.example', '/x'), undefined);
  assert.equal(table.find('a.example', '/x/')?.rules.name, 'short');
  assert.equal(table.find('a.example', '/x?a=/x/y/'), undefined);
  assert.equal(table.find('a.example', '/x/1?a=/x/y/')?.rules.name, 'short');
  assert.equal(table.find('b.example', '/x/1'), undefined);
});

test('each hundred consecutive requests are distributed by the weights', () => {
  const shares = [
    { service: 's', weight: 90 },
    { service: 't', weight: 10 },
    { service: 'never', weight: 0 },
  ];
  const found = new RouteTable(rules([route({ shares })])).find('a.example', '/x/1')!;
  for (let round = 0; round < 5; round += 1) {
    const services = Array.from({ length: 100 }, () => found.nextService());
    assert.equal(services.filter((service) => service === 's').length, 90);
    assert.equal(services.filter((service) => service === 't').length, 10);
  }
});

test('rejects an inconsistent document as a whole', () => {
  const unknown = route({ shares: [{ service: 'u', weight: 1 }] });
  const withoutWeight = route({ shares: [{ service: 's', weight: 0 }] });
  assert.ok(checkRules(rules([route({})])).isOk);
  assert.ok(checkRules(rules([unknown])).isErr);
  assert.ok(checkRules(rules([withoutWeight])).isErr);
  assert.ok(checkRules(rules([route({}), route({ name: 'q' })])).isErr);
});

test('maps ranks to classes; ranks beyond the last class share it', () => {
  const classes = [0, 1, 2, 3, 7].map(criticalityOfRank);
  assert.deepEqual(classes, ['critical', 'high', 'normal', 'sheddable', 'sheddable']);
});

test('the rank of the tenant takes precedence over the rank of the route', () => {
  const routeRanks = [0, 1, 2];
  const classesOf = (tenantRank?: number) =>
    routeRanks.map((rank) => criticalityOf(tenantRank, rank));
  assert.deepEqual(classesOf(), ['critical', 'high', 'normal']);
  assert.deepEqual(classesOf(0), ['critical', 'critical', 'critical']);
  assert.deepEqual(classesOf(1), ['high', 'normal', 'sheddable']);
  assert.deepEqual(classesOf(9), ['sheddable', 'sheddable', 'sheddable']);
});
