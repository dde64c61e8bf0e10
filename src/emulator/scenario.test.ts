import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';
import { ResultCode } from '../core/result-code.js';
import { parseScenario } from './scenario.js';

const VALID = `
apiVersion: sillshore/v1
name: x
deployment: recife
durationMs: 5000
policies: [none]
load: { multiple: 0.5 }
`;

const ACCEPTED: [string, string][] = [
  ['the smallest', VALID],
  ['rates by kind', VALID.replace('{ multiple: 0.5 }', '{ ratesPerSecond: { script-step: 10 } }')],
  [
    'a synthetic fleet',
    VALID.replace('recife', '{ synthetic: { targets: 20, services: 5, zones: 3, depth: 4 } }'),
  ],
];

const REJECTED: [string, string, string[]][] = [
  ['no YAML', 'a: [', ['']],
  ['an unknown member', `${VALID}colour: red\n`, ['']],
  ['an unknown deployment', VALID.replace('recife', 'oslo'), ['deployment']],
  ['an unknown policy', VALID.replace('[none]', '[none, some]'), ['policies.1']],
  ['no policies', VALID.replace('[none]', '[]'), ['policies']],
  ['a text for a number', VALID.replace('5000', 'long'), ['durationMs']],
  ['a run that is too long', VALID.replace('5000', '6000000'), ['durationMs']],
  ['a warm-up longer than the run', `${VALID}warmUpMs: 5000\n`, ['warmUpMs']],
  [
    'an unknown kind',
    VALID.replace('multiple: 0.5', 'ratesPerSecond: { x: 1 }'),
    ['load.ratesPerSecond.x'],
  ],
  ['a negative load', VALID.replace('0.5', '-1'), ['load.multiple']],
  ['an unknown fault', `${VALID}faults: [{ type: fire, fromMs: 0, toMs: 1 }]\n`, ['faults.0.type']],
  [
    'several errors in faults, all reported',
    `${VALID}faults:
  - { type: slow, service: x, fromMs: 0, toMs: 1, factor: 2 }
  - { type: slow, service: script-guide, target: x, fromMs: 0, toMs: 1, factor: 2 }
  - { type: zone-loss, zone: x, fromMs: 0, toMs: 1 }
  - { type: platform-outage, fromMs: 2, toMs: 1 }
`,
    ['faults.3.toMs', 'faults.0.service', 'faults.1.target', 'faults.2.zone'],
  ],
];

for (const [name, text] of ACCEPTED) {
  test(`accepts ${name}`, () => {
    assert.ok(parseScenario(text).isOk);
  });
}

for (const [name, text, paths] of REJECTED) {
  test(`rejects ${name}`, () => {
    const parsed = parseScenario(text);
    assert.ok(parsed.isErr);
    assert.equal(parsed.error.code, ResultCode.ScenarioInvalid);
    assert.deepEqual(
      parsed.error.violations?.map(({ path }) => path),
      paths,
    );
  });
}

test('every example is valid', () => {
  const directory = 'examples/experiments';
  const files = readdirSync(directory).filter((file) => file.endsWith('.yaml'));
  assert.ok(files.length > 0);
  for (const file of files) {
    const parsed = parseScenario(readFileSync(`${directory}/${file}`, 'utf8'));
    assert.ok(parsed.isOk, `${file}: ${parsed.isErr ? JSON.stringify(parsed.error) : ''}`);
  }
});
