/** Checks that the settings template, filled with the platform's fields, is a valid settings file. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { validateSidecarSettings } from '../src/sidecar/settings.js';

/** Example fields of a machine, in the form that the platform documents. */
const FIELDS = {
  nodeName: 'node-1',
  zone: 'zone-a',
  region: 'region-a',
  ipAddress: '10.1.0.8',
  applicationAddress: '10.1.0.8:8301',
  service: 'guide',
  limits: { memoryMb: 350, fileDescriptors: 4_100 },
  internalPortRange: [7620, 7635],
  listenAddresses: {
    outbound: '10.1.0.8:8304',
    ready: '10.1.0.8:8302',
    controlPlane: '10.1.0.8:8306',
  },
  platform: { address: '10.200.1.7:8309' },
  bounds: {
    gracePeriod: '6s',
    retryBudgetRatio: 0.2,
    retryWindow: '10s',
    retryBudgetSlack: 57,
    revoke: '5000ms',
    revokeFailClosed: true,
    quotaWindow: '4s',
    quotaOvershoot: 0.2,
    quotaSlack: 20,
  },
};

/** Fills `{{a.b}}` and `{{a.b|json}}`; an absent value becomes null, or empty without `json`. */
function fill(template: string, fields: unknown): unknown {
  const text = template.replaceAll(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_placeholder, path: string, json) => {
      let value: unknown = fields;
      for (const name of path.split('.'))
        value = (value as Record<string, unknown> | undefined)?.[name];
      if (json !== undefined) return JSON.stringify(value ?? null);
      return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
    },
  );
  return JSON.parse(text);
}

const template = readFileSync('deploy/sidecar.settings.json.template', 'utf8');

test('the filled template is valid and has the values of the fields', () => {
  const settings = validateSidecarSettings(fill(template, FIELDS));
  const { node, listen, target, store, bounds, limits } = settings.unwrapOrElse((failure) =>
    assert.fail(JSON.stringify(failure)),
  );
  assert.deepEqual(node, { id: 'node-1', zone: 'zone-a', region: 'region-a' });
  assert.equal(limits.fileDescriptors, 4_100);
  assert.equal(listen.metrics, '10.1.0.8:7635');
  assert.deepEqual(listen.ports, [7620, 7635]);
  assert.deepEqual(target, { service: 'guide', address: '10.1.0.8:8301' });
  assert.equal(store.address, '10.200.1.7:8309');
  assert.deepEqual(bounds, {
    gracePeriod: 6_000,
    retryRatio: 0.2,
    retryWindow: 10_000,
    retrySlack: 57,
    keyRevocation: 5_000,
    refuseUncheckedKeys: true,
    quotaWindow: 4_000,
    quotaOvershoot: 0.2,
    quotaSlack: 20,
  });
});

test('bounds that a deployment leaves out have defaults', () => {
  const settings = validateSidecarSettings(fill(template, { ...FIELDS, bounds: {} }));
  const { bounds } = settings.unwrapOrElse((failure) => assert.fail(JSON.stringify(failure)));
  assert.equal(bounds.gracePeriod, 6_000);
  assert.equal(bounds.retrySlack, 0);
  assert.equal(bounds.keyRevocation, null);
  assert.equal(bounds.refuseUncheckedKeys, false);
});
