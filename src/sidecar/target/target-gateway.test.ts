/** The gateway before a real target: what it tells routing of how requests end. */
import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import '../../core/policies/adaptive.js';
import { createFailure } from '../../core/failure.js';
import { ResultCode } from '../../core/result-code.js';
import { findOverloadPolicy } from '../../core/overload-policy-registry.js';
import { systemClock } from '../../kernel/clock.js';
import { silentEventLog } from '../../kernel/event.js';
import { ForwardedFields } from '../forwarded-fields.js';
import type { AttemptCall, AttemptEnd } from '../link/link-messages.js';
import type { QuarantineUpdate } from '../quarantine/quarantine-update.js';
import { RequestQuarantine } from '../quarantine/request-quarantine.js';
import { TargetGateway } from './target-gateway.js';

const FIELDS = {
  attemptId: 'x-id',
  timeLeft: 'x-left',
  expectedTarget: 'x-expected',
  callerService: 'x-caller',
  apiKey: 'x-key',
  tenant: 'x-group',
  notExecuted: 'x-not-run',
  signature: 'x-signature',
  targetId: 'x-target',
};
const CALL: AttemptCall = {
  attemptId: 'a',
  requestId: 'a',
  service: 's',
  kind: 'k',
  rank: 0,
  idempotent: true,
  depth: 0,
  repeated: false,
  committed: false,
  timeLeftMs: 5_000,
  dueInMs: 5_000,
  callerService: 'c',
  method: 'GET',
  path: '/',
  fields: ['Host', 'h'],
  body: new Uint8Array(0),
};

const REFUSAL = createFailure(ResultCode.RulesOutdated, 'scripted', { retryAfterMs: 50 });

let target: Server;
let told: QuarantineUpdate[];
let status: number;
let gateway: TargetGateway;
/** Tenant whose key has been taken away. */
let taken: string | undefined;
let rechecks: number[];

beforeEach(async () => {
  told = [];
  rechecks = [];
  taken = undefined;
  target = createServer((request, response) => {
    response.writeHead(status, { [FIELDS.attemptId]: String(request.headers[FIELDS.attemptId]) });
    response.end('whole');
  });
  await new Promise<void>((resolve) => target.listen(0, '127.0.0.1', resolve));
  gateway = new TargetGateway({
    service: 's',
    address: `127.0.0.1:${(target.address() as AddressInfo).port}`,
    fields: FIELDS,
    forwardedFields: new ForwardedFields(FIELDS),
    policy: findOverloadPolicy('adaptive')!,
    clock: systemClock,
    log: silentEventLog,
    seed: 1,
    quarantine: new RequestQuarantine({
      clock: systemClock,
      log: silentEventLog,
      broadcast: (update) => told.push(update),
      trialNodeOf: () => undefined,
    }),
    recheckAuthorization: (authorization, validForMs) => {
      rechecks.push(validForMs);
      return authorization.tenant === taken ? REFUSAL : undefined;
    },
    onIdentityMismatch: () => {},
  });
  gateway.setTarget({ id: 'i-1', state: 'ready', slots: 10, warmUntil: 0 });
});

afterEach(() => {
  target.close();
  target.closeAllConnections();
});

function send(attemptId: string): Promise<AttemptEnd> {
  return new Promise((resolve) => gateway.dispatch({ ...CALL, attemptId }, resolve));
}

for (const [answered, told] of [
  [200, 0],
  [404, 0],
  [504, 0],
  [500, 0.5],
] as const) {
  test(`of a target that answers ${answered} routing hears a share of failures of ${told}`, async () => {
    status = answered;
    let end: AttemptEnd | undefined;
    for (let count = 0; count < 5; count += 1) end = await send(`a${count}`);
    assert.equal(end?.type === 'answer' && end.status, answered, 'the answer itself is unchanged');
    assert.ok(Math.abs((end?.load?.failureShare ?? 0) - told) < 0.1, `${end?.load?.failureShare}`);
  });
}

test('a target that ends accuses what ran there, and not what it had answered', async () => {
  status = 200;
  await send('answered');
  target.removeAllListeners('request');
  target.on('request', () => {
    target.close();
    target.closeAllConnections();
  });
  const ends: AttemptEnd[] = [];
  await new Promise<void>((resolve) => {
    gateway.dispatch({ ...CALL, path: '/cause' }, (end) => {
      ends.push(end);
      assert.equal(told.length, 1, 'the update goes before the end');
      resolve();
    });
  });
  assert.equal(ends[0]?.type === 'failure' && ends[0].execution, 'unknown');
  const [update] = told;
  assert.ok(update?.type === 'target-ends');
  assert.deepEqual(
    update.ends.map(({ target: life, requests }) => [life, requests.length]),
    [['i-1', 1]],
  );
});

test('a request that is cancelled while it is asked whether the target has ended may have run', async () => {
  target.removeAllListeners('request');
  let cancel: () => boolean = () => false;
  const cut = new Promise<void>((resolve) => {
    target.on('request', (request) => {
      request.socket.destroy();
      request.socket.on('close', resolve);
    });
  });
  cancel = gateway.dispatch(CALL, () => assert.fail('it was cancelled'));
  await cut;
  await new Promise((resolve) => setImmediate(resolve));
  assert.ok(cancel());
});

test('what waits is checked again before the target gets it', async () => {
  const authorization = { tenant: 't', fingerprint: 'f', rulesVersion: 1, validForMs: 3_000 };
  const authorized = { ...CALL, authorization };
  const running: (() => void)[] = [];
  const seen: string[] = [];
  target.removeAllListeners('request');
  target.on('request', (request, response) => {
    const attemptId = String(request.headers[FIELDS.attemptId]);
    seen.push(attemptId);
    running.push(() => response.writeHead(200, { [FIELDS.attemptId]: attemptId }).end());
  });
  gateway.setTarget({ id: 'i-2', state: 'ready', slots: 1, warmUntil: 0 });
  const ends: AttemptEnd[] = [];
  for (const attemptId of ['first', 'second']) {
    gateway.dispatch({ ...authorized, attemptId }, (end) => ends.push(end));
  }
  while (running.length === 0) await new Promise((resolve) => setTimeout(resolve, 1));
  taken = 't';
  running[0]!();
  while (ends.length < 2) await new Promise((resolve) => setTimeout(resolve, 1));
  assert.deepEqual(seen, ['first'], 'what had been sent runs to its end, the other is not sent');
  const refused = ends.find((end) => end.type === 'failure');
  assert.ok(refused?.type === 'failure');
  assert.deepEqual([refused.execution, refused.code], ['not-run', ResultCode.RulesOutdated]);
  assert.ok(rechecks.at(-1)! < 3_000, 'the wait counts');
});

test('a run that fails after a call below it was refused for load says so', async () => {
  target.removeAllListeners('request');
  target.on('request', (request, response) => {
    const attemptId = String(request.headers[FIELDS.attemptId]);
    if (attemptId === 'refused') gateway.noteCallRefused(attemptId);
    response.writeHead(500, { [FIELDS.attemptId]: attemptId }).end();
  });
  const refused = await send('refused');
  assert.equal(refused.type === 'answer' && refused.refusedBelow, true);
  assert.ok((refused.load?.threshold ?? 0) > 0, 'nodes where such requests begin hear of it');
  const failed = await send('failed');
  assert.equal(failed.type === 'answer' && failed.refusedBelow, undefined);
});
