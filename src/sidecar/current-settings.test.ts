import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import { ManualClock } from '../kernel/clock.js';
import { Event } from '../kernel/event.js';
import { CurrentSettings } from './current-settings.js';
import { validateSidecarSettings, type SidecarSettings } from './settings.js';

function settings(retrySlack: number, zone = 'z'): SidecarSettings {
  const at = '127.0.0.1:80';
  return validateSidecarSettings({
    node: { id: 'n', zone },
    listen: { entry: at, readiness: at, registration: at, host: '127.0.0.1', ports: [1, 2] },
    target: { service: 's', address: at },
    store: { address: at },
    limits: { memoryMb: 100 },
    bounds: { gracePeriod: '6s', retryRatio: 0.2, retryWindow: '10s', retrySlack },
  }).unwrapOrElse((failure) => assert.fail(JSON.stringify(failure)));
}

/** A settings source whose content the test changes. */
class ScriptedSource {
  content: Result<SidecarSettings, Failure> = Result.ok(settings(1));
  changed = 0;

  read(): Promise<Result<SidecarSettings, Failure>> {
    return Promise.resolve(this.content);
  }

  stamp(): Promise<string> {
    return Promise.resolve(String(this.changed));
  }
}

async function start(): Promise<{
  source: ScriptedSource;
  clock: ManualClock;
  events: Event[];
  currentSettings: CurrentSettings;
}> {
  const source = new ScriptedSource();
  const clock = new ManualClock();
  const events: Event[] = [];
  const log = { emit: (event: Event) => events.push(event) };
  const currentSettings = new CurrentSettings(settings(1), source, clock, log);
  await currentSettings.start();
  return { source, clock, events, currentSettings };
}

async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

test('a reload puts new bounds into force', async () => {
  const { source, currentSettings, events } = await start();
  source.content = Result.ok(settings(7));
  await currentSettings.reload();
  assert.equal(currentSettings.current.bounds.retrySlack, 7);
  assert.deepEqual(events, [Event.SettingsReloaded]);
});

test('a change without a signal is detected', async () => {
  const { source, clock, currentSettings } = await start();
  source.content = Result.ok(settings(9));
  source.changed += 1;
  clock.advance(5_000);
  await settle();
  assert.equal(currentSettings.current.bounds.retrySlack, 9);
});

test('invalid settings are rejected and the previous ones stay in force', async () => {
  const { source, currentSettings, events } = await start();
  source.content = Result.err(createFailure(ResultCode.SettingsInvalid, 'no'));
  await currentSettings.reload();
  assert.equal(currentSettings.current.bounds.retrySlack, 1);
  assert.deepEqual(events, [Event.SettingsRejected]);
});
