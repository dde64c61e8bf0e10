import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { parseRules, type Rules } from '../config/rules.js';
import { parseSettings } from '../config/settings.js';
import { parseWorkload, type Workload } from '../stand-ins/workload.js';

const examples = ['recife', 'trondheim'] as const;

function read(example: string): { rules: Rules; workload: Workload } {
  const rules = parseRules(readFileSync(`examples/${example}/rules.yaml`, 'utf8'));
  const workload = parseWorkload(readFileSync(`examples/${example}/workload.yaml`, 'utf8'));
  if (rules.isErr) assert.fail(JSON.stringify(rules.error));
  if (workload.isErr) assert.fail(JSON.stringify(workload.error));
  return { rules: rules.value, workload: workload.value };
}

/** Number of services on the longest chain of calls of a request, the first included. */
function depth(workload: Workload, service: string, method: string, path: string): number {
  const backend = workload.backends.find((candidate) => candidate.service === service);
  const below = (backend?.calls ?? [])
    .filter(({ on }) => (on.method ?? method) === method && path.startsWith(on.pathPrefix ?? '/'))
    .map((call) => depth(workload, call.service, call.method, call.path));
  return 1 + Math.max(0, ...below);
}

for (const example of examples) {
  test(`${example}: every file is valid`, () => {
    const { rules, workload } = read(example);
    assert.equal(workload.tenant, rules.tenant);
    const settings = readdirSync(`examples/${example}`).filter((file) => file.startsWith('node-'));
    assert.equal(settings.length, 3);
    for (const file of settings) {
      assert.ok(parseSettings(readFileSync(`examples/${example}/${file}`, 'utf8')).isOk, file);
    }
  });

  test(`${example}: streams and calls match services and kinds of the rules`, () => {
    const { rules, workload } = read(example);
    const requests = [workload.probe, ...workload.streams].map(({ kind, ...rest }) => ({
      ...rest,
      kind,
    }));
    for (const request of requests) {
      const service = rules.services.find(({ name }) => name === request.service);
      const kind = service?.kinds.find(({ name }) => name === request.kind);
      assert.ok(service?.hosts.includes(request.host), request.kind);
      assert.ok(request.path.startsWith(kind?.match.pathPrefix ?? '-'), request.kind);
      assert.equal(kind?.match.method, request.method);
      assert.equal(kind.deadlineMs, request.patienceMs);
    }
    for (const backend of workload.backends) {
      const service = rules.services.find(({ name }) => name === backend.service);
      assert.ok(service, backend.service);
      for (const call of backend.calls) assert.ok(service.calls.includes(call.service));
    }
  });

  test(`${example}: the deepest chain has three services, and attempts cover each chain`, () => {
    const { rules, workload } = read(example);
    const depths = workload.streams.map(({ kind, service, method, path }) => {
      const chain = depth(workload, service, method, path);
      const kinds = rules.services.flatMap((candidate) => candidate.kinds);
      assert.ok(kinds.find(({ name }) => name === kind)!.attempts >= chain, kind);
      return chain;
    });
    assert.equal(Math.max(...depths), 3);
  });
}
