import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { ResultCode } from '../../core/result-code.js';
import { ManualClock } from '../../kernel/clock.js';
import { silentEventLog } from '../../kernel/event.js';
import { RouteTable } from '../rules/route-table.js';
import { RulesFreshness } from '../rules/rules-freshness.js';
import { checkRules, type RoutingRules, type TenantRules } from '../rules/routing-rules.js';
import { RequestAuthorizer, type Authorized, type RequestHead } from './request-authorizer.js';

const MAX_AGE_MS = 4_700;
const CALLER: RequestHead = { apiKey: 'key-a', isCall: false, isParentRunning: false };
const TENANTS: readonly TenantRules[] = [
  { name: 'a', apiKeys: ['key-a'], rank: 1 },
  { name: 'b', apiKeys: ['key-b'] },
];

function rules(version: number, tenants?: readonly TenantRules[]): RoutingRules {
  const route = {
    ...{ name: 'r', host: 'h', idempotent: true, rank: 2, timeoutMs: 1_000, aimMs: 500 },
    ...{ maxAttempts: 2, shares: [{ service: 's', weight: 1 }], isPublic: false },
  };
  return {
    version,
    routes: [
      { ...route, pathPrefix: '/closed/' },
      { ...route, name: 'p', pathPrefix: '/public/', isPublic: true },
    ],
    services: new Map([['s', { healthPath: '/', maxConnections: 1 }]]),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    ...(tenants === undefined ? {} : { tenants }),
  };
}

let clock: ManualClock;
let table: RouteTable;
let freshness: RulesFreshness;
let authorizer: RequestAuthorizer;

beforeEach(() => {
  clock = new ManualClock();
  table = new RouteTable(rules(3, TENANTS));
  freshness = new RulesFreshness({
    clock,
    log: silentEventLog,
    maxAgeMs: () => MAX_AGE_MS,
    rulesVersion: () => table.rules.version,
  });
  freshness.confirm(3, clock.bootNow());
  authorizer = new RequestAuthorizer({ table: () => table, freshness });
});

function authorize(head: Partial<RequestHead>, path = '/closed/'): Authorized | ResultCode {
  const result = authorizer.authorize(table, table.find('h', path)!, { ...CALLER, ...head });
  return result.isOk ? result.value : result.error.code;
}

function admitted(): NonNullable<Authorized['authorization']> {
  const result = authorize({});
  assert.ok(typeof result === 'object' && result.authorization !== undefined);
  return result.authorization;
}

test('authorizes a request for the tenant that holds its key', () => {
  const result = authorize({ apiKey: 'key-b' });
  assert.ok(typeof result === 'object');
  assert.equal(result.tenant?.name, 'b');
  assert.equal(result.authorization?.tenant, 'b');
});

test('the authorization that is sent to other nodes contains no key', () => {
  assert.ok(!JSON.stringify(admitted()).includes('key-a'));
});

test('rejects an unknown or missing key', () => {
  assert.equal(authorize({ apiKey: 'key-c' }), ResultCode.ApiKeyRejected);
  assert.equal(authorize({ apiKey: 'key-a, key-a' }), ResultCode.ApiKeyRejected);
  assert.equal(authorize({ apiKey: undefined }), ResultCode.ApiKeyRejected);
  assert.equal(authorize({ apiKey: '__proto__' }), ResultCode.ApiKeyRejected);
});

test('public routes, and rules without tenants, need no key and give no tenant', () => {
  assert.deepEqual(authorize({}, '/public/'), {});
  assert.deepEqual(authorize({ apiKey: undefined }, '/public/'), {});
  table = new RouteTable(rules(4));
  assert.deepEqual(authorize({ apiKey: undefined }), {});
});

test('accepts calls of the local target without a key only while it serves their parent request', () => {
  const call = { apiKey: undefined, isCall: true };
  assert.deepEqual(authorize({ ...call, isParentRunning: true }), {});
  assert.equal(authorize(call), ResultCode.ParentUnknown);
});

test('neither accepts a key nor rejects it as unknown without a recent confirmation', () => {
  clock.advance(MAX_AGE_MS);
  assert.equal(authorize({}), ResultCode.RulesOutdated);
  assert.equal(authorize({ apiKey: 'key-c' }), ResultCode.RulesOutdated);
  assert.deepEqual(authorize({}, '/public/'), {});
  freshness.confirm(3, clock.bootNow());
  assert.ok(typeof authorize({}) === 'object');
});

test('refuses waiting requests whose key was revoked or given to another tenant', () => {
  const authorization = admitted();
  assert.equal(authorizer.recheck(authorization, 1), undefined);
  table = new RouteTable(rules(4, [{ name: 'a', apiKeys: ['other'] }]));
  assert.equal(authorizer.recheck(authorization, 1)?.code, ResultCode.RulesOutdated);
  table = new RouteTable(rules(5, [{ name: 'b', apiKeys: ['key-a'] }]));
  assert.equal(authorizer.recheck(authorization, 1)?.execution, 'not-run');
});

test('a node with older rules than the first check relies on the first check', () => {
  const authorization = { ...admitted(), rulesVersion: 9, tenant: 'new' };
  assert.equal(authorizer.recheck(authorization, 1), undefined);
  assert.equal(authorizer.recheck(authorization, 0)?.code, ResultCode.RulesOutdated);
});

test('relies on its own confirmation when the first check is no longer valid', () => {
  const authorization = admitted();
  assert.equal(authorizer.recheck(authorization, 0), undefined);
  clock.advance(MAX_AGE_MS);
  assert.equal(authorizer.recheck(authorization, 0)?.code, ResultCode.RulesOutdated);
});

test('rejects rules in which two tenants have the same key', () => {
  const both = [
    { name: 'a', apiKeys: ['key'] },
    { name: 'b', apiKeys: ['key'] },
  ];
  assert.ok(checkRules(rules(3, both)).isErr);
  assert.ok(checkRules(rules(3, TENANTS)).isOk);
});
