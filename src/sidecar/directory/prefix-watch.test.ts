/** Tests the watch with a scripted store. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Result } from 'true-myth';
import { createRandom } from '../../core/random.js';
import { ManualClock, systemClock, type CancelTimer } from '../../kernel/clock.js';
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

type WatchOutcome = Result<WatchResult, StoreFailure>;

const EVENT: StoreEvent = { type: 'put', key: 'k', value: Buffer.from('v'), revision: 12 };

/** Timers that fire at once. */
function immediately(_delayMs: number, callback: () => void): CancelTimer {
  callback();
  return () => {};
}

/** Runs a watch over scripted answers; returns its calls and the number of changes that it received. */
async function follow(
  answers: readonly WatchOutcome[],
  onCall: (eras: StoreEras, calls: readonly string[]) => void = () => {},
): Promise<{ calls: string[]; received: number }> {
  const eras = new StoreEras();
  const calls: string[] = [];
  let received = 0;
  let next = 0;
  const store = {
    list: () => {
      calls.push('list');
      onCall(eras, calls);
      return Promise.resolve(Result.ok({ items: [], at: calls.length === 1 ? 10 : 20 }));
    },
    watch: (_prefix: string, after: number) => {
      calls.push(`after ${after}`);
      onCall(eras, calls);
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
      received += events.length;
    },
  });
  await watch.run();
  return { calls, received };
}

test('keeps the revision after an answer without changes, since the answer may have missed one', async () => {
  const { calls } = await follow([Result.ok({ type: 'events', events: [], at: 15 })]);
  assert.deepEqual(calls, ['list', 'after 10', 'after 10']);
});

test('passes changes on and continues after them', async () => {
  const { calls, received } = await follow([
    Result.ok({ type: 'events', events: [EVENT], at: 12 }),
  ]);
  assert.deepEqual(calls, ['list', 'after 10', 'after 12']);
  assert.equal(received, 1);
});

test('makes no call while it rests, and reports the changes of a check only once', async () => {
  const calls: string[] = [];
  let rests = 3;
  let received = 0;
  const store = {
    list: () => Promise.resolve(Result.ok({ items: [], at: 10 })),
    poll: (_prefix: string, after: number) => {
      calls.push(`after ${after} wait false`);
      const events = after < EVENT.revision ? [EVENT] : [];
      return Promise.resolve(Result.ok({ type: 'events', events, at: 12 }));
    },
    watch: (_prefix: string, after: number) => {
      calls.push(`after ${after} wait true`);
      watch.close();
      return Promise.resolve(Result.ok({ type: 'events', events: [], at: 12 }));
    },
  } as unknown as MetadataStore;
  const clock = { ...systemClock, schedule: immediately };
  const random = createRandom(0x5eed);
  const watch = new PrefixWatch({
    ...{ prefix: 'k', store, backoff: new StoreBackoff(clock, random), eras: new StoreEras() },
    ...{ clock, log: silentEventLog, random, waitMs: () => 100, pauseAfterEventsMs: () => 0 },
    restMs: () => {
      rests -= 1;
      if (rests === 1) void watch.check().then(() => watch.check());
      return rests >= 0 ? 500 : 0;
    },
    onListing: () => {},
    onEvents: (events) => {
      received += events.length;
    },
  });
  await watch.run();
  assert.deepEqual(calls, ['after 10 wait false', 'after 12 wait false', 'after 12 wait true']);
  assert.equal(received, 1);
});

test('lists everything again after a failure, since another wait could be cut off as well', async () => {
  const { calls } = await follow([Result.err({ cause: 'unknown', detail: 'cut' })]);
  assert.deepEqual(calls, ['list', 'after 10', 'list', 'after 20']);
});

test('lists everything again when the history was compacted', async () => {
  const { calls } = await follow([Result.ok({ type: 'compacted' })]);
  assert.deepEqual(calls, ['list', 'after 10', 'list', 'after 20']);
});

test('lists again instead of passing on changes of another era than the listing', async () => {
  const { calls, received } = await follow(
    [Result.ok({ type: 'events', events: [EVENT], at: 12 })],
    (eras, soFar) => eras.accept(soFar.length === 1 ? 1 : 2),
  );
  assert.deepEqual(calls, ['list', 'after 10', 'list', 'after 20']);
  assert.equal(received, 0);
});

test('repeats a listing during which the era changed', async () => {
  const { calls } = await follow([Result.ok({ type: 'compacted' })], (eras, soFar) =>
    eras.accept(soFar.length < 3 ? 1 : 2),
  );
  assert.deepEqual(calls, ['list', 'after 10', 'list', 'list', 'after 20']);
});

/** A watch of which every wait is silent until the connections are replaced. */
function startSilentWatch(poll: () => WatchOutcome): {
  readonly watch: PrefixWatch;
  readonly clock: ManualClock;
  readonly eras: StoreEras;
  readonly calls: string[];
  readonly received: number[];
  readonly stop: () => Promise<void>;
} {
  const waits: (() => void)[] = [];
  const calls: string[] = [];
  const received: number[] = [];
  const endWaits = (): void => {
    for (const end of waits.splice(0)) end();
  };
  const store = {
    list: () => {
      calls.push('list');
      return Promise.resolve(Result.ok({ items: [], at: 10 }));
    },
    poll: () => Promise.resolve(poll()),
    watch: (_prefix: string, after: number) => {
      calls.push(`after ${after}`);
      return new Promise((resolve) => {
        waits.push(() => {
          resolve(Result.ok({ type: 'interrupted' }));
        });
      });
    },
    replaceConnections: () => {
      calls.push('replace');
      endWaits();
    },
  } as unknown as MetadataStore;
  const clock = new ManualClock();
  const eras = new StoreEras();
  const random = createRandom(0x5eed);
  const watch = new PrefixWatch({
    ...{ prefix: 'k', store, backoff: new StoreBackoff(clock, random), eras },
    ...{ clock, log: silentEventLog, random, waitMs: () => 100, pauseAfterEventsMs: () => 0 },
    onListing: () => {},
    onEvents: (events) => {
      received.push(...events.map(({ revision }) => revision));
    },
  });
  const running = watch.run();
  const stop = async (): Promise<void> => {
    watch.close();
    endWaits();
    await running;
  };
  return { watch, clock, eras, calls, received, stop };
}

async function settle(): Promise<void> {
  for (let round = 0; round < 5; round += 1) await new Promise((done) => setImmediate(done));
}

test('replaces the connections when a wait does not deliver a change that a check has found', async () => {
  const silent = startSilentWatch(() => Result.ok({ type: 'events', events: [EVENT], at: 12 }));
  await settle();
  await silent.watch.check();
  assert.deepEqual(silent.received, [12]);
  silent.clock.advance(199);
  await settle();
  assert.deepEqual(silent.calls, ['list', 'after 10']);
  silent.clock.advance(1);
  await settle();
  assert.deepEqual(silent.calls, ['list', 'after 10', 'replace', 'after 10']);
  await silent.stop();
});

test('lists again when a check finds the history compacted during a silent wait', async () => {
  const silent = startSilentWatch(() => Result.ok({ type: 'compacted' }));
  await settle();
  await silent.watch.check();
  await settle();
  assert.deepEqual(silent.calls, ['list', 'after 10', 'replace', 'list', 'after 10']);
  await silent.stop();
});

test('lists again when a check finds another era during a silent wait', async () => {
  const silent = startSilentWatch(() => {
    silent.eras.accept(2);
    return Result.ok({ type: 'events', events: [], at: 5 });
  });
  silent.eras.accept(1);
  await settle();
  await silent.watch.check();
  await settle();
  assert.deepEqual(silent.calls, ['list', 'after 10', 'replace', 'list', 'after 10']);
  await silent.stop();
});

test('a change that cannot be handled does not end the watch: everything is listed again', async () => {
  const clock = { ...systemClock, schedule: immediately };
  const calls: string[] = [];
  let failures = 0;
  const store = {
    list: () => {
      calls.push('list');
      return Promise.resolve(Result.ok({ items: [], at: 10 }));
    },
    watch: () => {
      calls.push('watch');
      if (calls.length > 4) watch.close();
      return Promise.resolve(Result.ok({ type: 'events', events: [EVENT], at: 12 }));
    },
  } as unknown as MetadataStore;
  const random = createRandom(0x5eed);
  const watch: PrefixWatch = new PrefixWatch({
    prefix: 'k',
    store,
    backoff: new StoreBackoff(clock, random),
    eras: new StoreEras(),
    clock,
    log: silentEventLog,
    random,
    waitMs: () => 100,
    pauseAfterEventsMs: () => 0,
    onListing: () => {},
    onEvents: () => {
      failures += 1;
      if (failures === 1) throw new Error('cannot be handled');
    },
  });
  await watch.run();
  assert.deepEqual(calls.slice(0, 4), ['list', 'watch', 'list', 'watch']);
});

test('a store that answers each wait at once is not called without a pause', async () => {
  const pauses: number[] = [];
  let waits = 0;
  const store = {
    list: () => Promise.resolve(Result.ok({ items: [], at: 10 })),
    watch: () => {
      waits += 1;
      if (waits === 20) watch.close();
      return Promise.resolve(Result.ok({ type: 'events', events: [], at: 10 }));
    },
  } as unknown as MetadataStore;
  const schedule = (delayMs: number, callback: () => void): CancelTimer => {
    pauses.push(delayMs);
    return immediately(delayMs, callback);
  };
  const clock = { ...systemClock, schedule };
  const random = createRandom(0x5eed);
  const watch: PrefixWatch = new PrefixWatch({
    prefix: 'k',
    store,
    backoff: new StoreBackoff(clock, random),
    eras: new StoreEras(),
    clock,
    log: silentEventLog,
    random,
    waitMs: () => 10_000,
    pauseAfterEventsMs: () => 0,
    onListing: () => {},
    onEvents: () => {},
  });
  await watch.run();
  assert.ok(pauses.length >= waits - 1, `${pauses.length} pauses for ${waits} waits`);
});
