/** What only the TCP transport has: limits, and how links open, stay idle and close. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Result } from 'true-myth';
import { ResultCode } from '../core/result-code.js';
import { ManualClock } from '../kernel/clock.js';
import { Event } from '../kernel/event.js';
import { IDLE_CLOSE_MS } from './tcp-peer-network.js';
import {
  MAX_FRAME_BYTES,
  startNode,
  serveEcho,
  fetchCode,
} from '../../test/support/tcp-peer-nodes.js';

test('a message above the frame limit is refused by the sender and the link stays up', async (context) => {
  const caller = await startNode(context, 'node-a');
  const server = await startNode(context, 'node-b');
  serveEcho(server);
  caller.network.setAddress('node-b', server.network.localAddress);
  for (const bytes of [MAX_FRAME_BYTES, 1_000_000]) {
    assert.equal(await fetchCode(caller, 'node-b', 'x'.repeat(bytes)), ResultCode.FrameTooLarge);
    assert.equal(await fetchCode(caller, 'node-b', Buffer.alloc(bytes)), ResultCode.FrameTooLarge);
  }
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.Ok);
});

test('calls in flight are limited, and end with PeerLost when the link closes', async (context) => {
  const caller = await startNode(context, 'node-a', { maxInFlight: 2 });
  const server = await startNode(context, 'node-b');
  let entered = 0;
  const bothEntered = new Promise<void>((resolve) => {
    server.network.handle(
      'configFetch',
      (body) => Result.ok(body as { after: number }),
      () => {
        entered += 1;
        if (entered === 2) resolve();
        return new Promise(() => {});
      },
    );
  });
  caller.network.setAddress('node-b', server.network.localAddress);
  const calls = [fetchCode(caller, 'node-b'), fetchCode(caller, 'node-b')];
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.MailboxFull);
  await bothEntered;
  await server.network.close();
  assert.deepEqual(await Promise.all(calls), [ResultCode.PeerLost, ResultCode.PeerLost]);
});

test('a refused connection is retried only after a pause', async (context) => {
  const caller = await startNode(context, 'node-a');
  const server = await startNode(context, 'node-b');
  serveEcho(server);
  const { localAddress } = server.network;
  await server.network.close();
  caller.network.setAddress('node-b', localAddress);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.PeerUnreachable);
  const waiting = await caller.network.call(
    'node-b',
    'configFetch',
    { after: 1 },
    { timeoutMs: 1_000 },
  );
  const pauseMs = waiting.isErr ? waiting.error.retryAfterMs : undefined;
  assert.ok(pauseMs !== undefined && pauseMs > 0 && pauseMs <= 75, `pause of ${pauseMs} ms`);
});

test('an idle link is closed and opened again on demand', async (context) => {
  const clock = new ManualClock();
  const caller = await startNode(context, 'node-a', { clock });
  const server = await startNode(context, 'node-b', { clock });
  serveEcho(server);
  caller.network.setAddress('node-b', server.network.localAddress);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.Ok);
  clock.advance(2 * IDLE_CLOSE_MS);
  await caller.log.waitFor(Event.PeerDisconnected);
  await server.log.waitFor(Event.PeerDisconnected);
  assert.equal(caller.network.linkCount + server.network.linkCount, 0);
  assert.equal(await fetchCode(caller, 'node-b'), ResultCode.Ok);
});

test('a planned stop completes running calls and reports which calls were not handled', async (context) => {
  const caller = await startNode(context, 'node-a');
  const server = await startNode(context, 'node-b');
  const handled: number[] = [];
  let finish = (): void => {};
  let markEntered = (): void => {};
  const entered = new Promise<void>((resolve) => (markEntered = resolve));
  server.network.handle(
    'configFetch',
    (body) => Result.ok(body as { after: number }),
    async (_from, { after }) => {
      handled.push(after);
      markEntered();
      await new Promise<void>((resolve) => (finish = resolve));
      return Result.ok({ records: [], version: after });
    },
  );
  caller.network.setAddress('node-b', server.network.localAddress);
  const running = fetchCode(caller, 'node-b', 1);
  await entered;
  const retired = server.network.retire();
  // Sent before the caller can have read the goaway.
  const crossing = await caller.network.call(
    'node-b',
    'configFetch',
    { after: 2 },
    { timeoutMs: 1_000 },
  );
  assert.equal(crossing.isErr && crossing.error.code, ResultCode.PeerUnreachable);
  assert.equal(crossing.isErr && crossing.error.execution, 'not-run');
  assert.equal(await fetchCode(caller, 'node-b', 3), ResultCode.PeerUnreachable);
  finish();
  assert.equal(await running, ResultCode.Ok);
  await retired;
  assert.deepEqual(handled, [1]);
});
