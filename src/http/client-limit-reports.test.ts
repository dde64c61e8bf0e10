/** Reports of limits that clients reach. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Counter, Registry } from 'prom-client';
import { ManualClock } from '../kernel/clock.js';
import { Event, silentEventLog } from '../kernel/event.js';
import { ClientLimitReports } from './client-limit-reports.js';

test('many hits of a limit are one log line a second, and each is counted', async () => {
  const clock = new ManualClock();
  const registry = new Registry();
  const labelNames = ['port', 'limit'] as const;
  const hits = new Counter({ name: 'hits', help: 'hits', labelNames, registers: [registry] });
  const lines: [Event, object | undefined][] = [];
  const log = {
    ...silentEventLog,
    emit: (event: Event, fields?: object) => lines.push([event, fields]),
  };
  const reports = new ClientLimitReports({ port: 'entry', hits, clock, log });
  for (let index = 0; index < 500; index += 1) reports.note('requests-ahead');
  reports.note('connections');
  assert.deepEqual(lines, []);
  clock.advance(1_000);
  assert.deepEqual(lines, [
    [Event.ClientLimitReached, { port: 'entry', limit: 'requests-ahead', count: 500 }],
    [Event.ClientLimitReached, { port: 'entry', limit: 'connections', count: 1 }],
  ]);
  reports.note('connections');
  reports.close();
  assert.equal(lines.length, 3);
  assert.match(await registry.metrics(), /hits\{port="entry",limit="connections"\} 2/);
});
