import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResultCode } from '../core/result-code.js';
import { validateSidecarSettings } from './settings.js';

const AT = '127.0.0.1:80';

const VALID = {
  node: { id: 'n', zone: 'z' },
  listen: { entry: AT, readiness: AT, registration: AT, host: '127.0.0.1', ports: [1, 2] },
  target: { service: 's', address: AT },
  store: { address: AT },
  limits: {},
  bounds: { gracePeriod: '1500ms' },
  unknown: 'is passed over',
};

test('omitted settings get a default', () => {
  const settings = validateSidecarSettings(VALID).unwrapOrElse(() => assert.fail());
  assert.equal(settings.bounds.gracePeriod, 1_500);
  assert.deepEqual(settings.log, { level: 'info', maxLinesPerSecond: 50 });
  assert.equal(settings.limits.memoryMb, 256);
  assert.equal(settings.listen.metrics, undefined);
});

const INVALID: readonly (readonly [string, object, string])[] = [
  ['an address without port', { store: { address: '127.0.0.1' } }, 'store.address'],
  ['a name as address', { store: { address: 'host:80' } }, 'store.address'],
  ['a duration without unit', { bounds: { gracePeriod: '6' } }, 'bounds.gracePeriod'],
  ['a ratio below 0', { bounds: { retryRatio: -1 } }, 'bounds.retryRatio'],
  ['no target', { target: undefined }, 'target'],
  ['one port', { listen: { ...VALID.listen, ports: [1] } }, 'listen.ports'],
];

for (const [name, change, path] of INVALID) {
  test(`a violation names its path: ${name}`, () => {
    const failure = validateSidecarSettings({ ...VALID, ...change }).match({
      Ok: () => assert.fail('accepted'),
      Err: (error) => error,
    });
    assert.equal(failure.code, ResultCode.SettingsInvalid);
    assert.ok(failure.violations?.some((violation) => violation.path === path));
  });
}
