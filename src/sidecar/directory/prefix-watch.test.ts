/** The watch with a scripted store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Result } from 'true-myth';
import { createRandom } from '../../core/random.js';
import { systemClock, type CancelTimer } from '../../kernel/clock.js';
import { silentEventLog } from '../../kernel/event.js';
import type {
  MetadataStore,
  StoreEvent,
  StoreFailure,
  WatchResult,
} from '../../store/metadata-store.js';
import { StoreBackoff } from '../../store/store-backoff.js';
import { StoreEras } from '../../store/store-eras.js';
import { PrefixWatch } from './prefix-watch.js';

type WatchEnd = Result<WatchResult, StoreFailure>;

const EVENT: StoreEvent = { type: 'put', key: 'k', value: Buffer.from('v'), revision: 12 };

/** Timers that fire at once. */
function immediately(_delayMs: number, callback: () => void): CancelTimer {
  callback();
  return () => {};
}

/** Runs a watch over scripted answers; returns what it asked for and what it was told. */
async function follow(
  answers: readonly WatchEnd[],
  onAsked: (eras: StoreEras, asked: readonly string[]) => void = () => {},
): Promise<{ asked: string[]; heard: number }> {
  const eras = new StoreEras();
  const asked: string[] = [];
  let heard = 0;
  let next = 0;
  const store = {
    list: () => {
      asked.push('list');
      onAsked(eras, asked);
      return Promise.resolve(Result.ok({ items: [], at: asked.length === 1 ? 10 : 20 }));
    },
    watch: (_prefix: string, after: number) => {
      asked.push(`after ${after}`);
      onAsked(eras, asked);
      const answer = answers[next];
      next += 1;
      if (answer === undefined) watch.close();
      return Promise.resolve(answer ?? Result.ok({ type: 'events', events: [], at: 99 }));
    },
  } as unknown as MetadataStore;
  const clock = { ...systemClock, schedule: immediately };
  const random = createRandom(0x5eed);
  const watch = new PrefixWatch({
    prefix: 'k',
    store,
    backoff: new StoreBackoff(clock, random),
    eras,
    clock,
    log: silentEventLog,
    random,
    waitMs: () => 100,
    pauseAfterEventsMs: () => 0,
    onListing: () => {},
    onEvents: (events) => {
      heard += events.length;
    },
  });
  await watch.run();
  return { asked, heard };
}

test('an answer without changes moves nothing: a change may have been kept from it', async () => {
  const { asked } = await follow([Result.ok({ type: 'events', events: [], at: 15 })]);
  assert.deepEqual(asked, ['list', 'after 10', 'after 10']);
});

test('changes are handed on, and what follows them is asked for', async () => {
  const { asked, heard } = await follow([Result.ok({ type: 'events', events: [EVENT], at: 12 })]);
  assert.deepEqual(asked, ['list', 'after 10', 'after 12']);
  assert.equal(heard, 1);
});

test('after a failure everything is listed again, since another wait could be cut as well', async () => {
  const { asked } = await follow([Result.err({ cause: 'unknown', detail: 'cut' })]);
  assert.deepEqual(asked, ['list', 'after 10', 'list', 'after 20']);
});

test('when history is gone everything is listed again', async () => {
  const { asked } = await follow([Result.ok({ type: 'compacted' })]);
  assert.deepEqual(asked, ['list', 'after 10', 'list', 'after 20']);
});

test('changes that are told in another era than their listing are listed anew', async () => {
  const { asked, heard } = await follow(
    [Result.ok({ type: 'events', events: [EVENT], at: 12 })],
    (eras, soFar) => eras.accept(soFar.length === 1 ? 1 : 2),
  );
  assert.deepEqual(asked, ['list', 'after 10', 'list', 'after 20']);
  assert.equal(heard, 0);
});

test('a listing over the end of an era is made again', async () => {
  const { asked } = await follow([Result.ok({ type: 'compacted' })], (eras, soFar) =>
    eras.accept(soFar.length < 3 ? 1 : 2),
  );
  assert.deepEqual(asked, ['list', 'after 10', 'list', 'list', 'after 20']);
});
