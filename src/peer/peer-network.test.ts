/** The contract of {@link PeerNetwork}, run against every transport. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import { createRandom } from '../core/random.js';
import { ResultCode } from '../core/result-code.js';
import { ManualClock } from '../kernel/clock.js';
import { silentEventLog } from '../kernel/event.js';
import { InMemoryPeerHub } from '../../test/support/in-memory-peer-network.js';
import type { ConfigFetchMessage, ConfigFetchReply } from './messages.js';
import type { PeerNetwork } from './peer-network.js';
import { TcpPeerNetwork } from './tcp-peer-network.js';

interface Pair {
  readonly clock: ManualClock;
  readonly caller: PeerNetwork;
  readonly server: PeerNetwork;
  close(): Promise<void>;
}

async function createTcpPair(): Promise<Pair> {
  const clock = new ManualClock();
  const create = (node: string): TcpPeerNetwork =>
    new TcpPeerNetwork({
      node,
      address: '127.0.0.1:0',
      sharedKey: 'a key of the contract test',
      maxUnauthenticated: 512,
      limits: {
        maxFrameBytes: 65_536,
        maxInFlight: 100,
        maxMailboxLength: 1_000,
        maxWriteBacklogBytes: 1_000_000,
      },
      clock,
      log: silentEventLog,
      random: createRandom(1),
    });
  const caller = create('caller');
  const server = create('server');
  await Promise.all([caller.listen(), server.listen()]);
  caller.setAddress('server', server.localAddress);
  const close = async (): Promise<void> => {
    await Promise.all([caller.close(), server.close()]);
  };
  return { clock, caller, server, close };
}

function createInMemoryPair(): Promise<Pair> {
  const clock = new ManualClock();
  const hub = new InMemoryPeerHub(clock);
  const caller = hub.createNetwork('caller');
  const server = hub.createNetwork('server');
  caller.setAddress('server', 'memory:1');
  return Promise.resolve({ clock, caller, server, close: () => Promise.resolve() });
}

const TRANSPORTS = { tcp: createTcpPair, 'in memory': createInMemoryPair };

type Handler = (
  request: ConfigFetchMessage,
  signal: AbortSignal,
  from: string,
) => Promise<Result<ConfigFetchReply, Failure>>;

function validate(body: unknown): Result<ConfigFetchMessage, Failure> {
  const { after } = (body ?? {}) as Partial<ConfigFetchMessage>;
  return typeof after === 'number'
    ? Result.ok({ after })
    : Result.err(createFailure(ResultCode.FrameMalformed, 'after is not a number'));
}

function serve(network: PeerNetwork, handler: Handler): void {
  network.handle('configFetch', validate, (from, request, signal) =>
    handler(request, signal, from),
  );
}

const echo: Handler = ({ after }) => Promise.resolve(Result.ok({ records: [], version: after }));

function fetch(
  network: PeerNetwork,
  after: unknown,
  options: { node?: string; signal?: AbortSignal } = {},
): Promise<Result<ConfigFetchReply, Failure>> {
  const { node = 'server', signal } = options;
  return network.call(
    node,
    'configFetch',
    { after: after as number },
    {
      timeoutMs: 1_000,
      ...(signal !== undefined && { signal }),
    },
  );
}

function codeOf(result: Result<unknown, Failure>): ResultCode {
  return result.isErr ? result.error.code : ResultCode.Ok;
}

interface Signalled {
  readonly entered: Promise<void>;
  readonly aborted: Promise<void>;
  readonly handler: Handler;
}

/** A handler that signals when it is entered and aborted, and replies only when aborted. */
function createWaitingHandler(): Signalled {
  const state = { enter: (): void => {}, abort: (): void => {} };
  const entered = new Promise<void>((resolve) => (state.enter = resolve));
  const aborted = new Promise<void>((resolve) => (state.abort = resolve));
  const handler: Handler = async (request, signal, from) => {
    state.enter();
    await new Promise<void>((resolve) => {
      signal.addEventListener('abort', () => {
        resolve();
      });
    });
    state.abort();
    return echo(request, signal, from);
  };
  return { entered, aborted, handler };
}

const CASES: Record<string, (pair: Pair) => Promise<void>> = {
  'the reply reaches its caller': async ({ caller, server }) => {
    serve(server, echo);
    const result = await fetch(caller, 7);
    assert.deepEqual(result.unwrapOr(undefined as never), { records: [], version: 7 });
  },
  'the handler receives the name of the caller': async ({ caller, server }) => {
    const callers: string[] = [];
    serve(server, (request, signal, from) => {
      callers.push(from);
      return echo(request, signal, from);
    });
    await fetch(caller, 7);
    assert.deepEqual(callers, ['caller']);
  },
  'replies out of order reach their own callers': async ({ caller, server }) => {
    const release = new Map<number, () => void>();
    const entered = new Promise<void>((resolve) => {
      serve(server, async (request, signal, from) => {
        await new Promise<void>((go) => {
          release.set(request.after, go);
          if (release.size === 3) resolve();
        });
        return echo(request, signal, from);
      });
    });
    const results = [1, 2, 3].map((after) => fetch(caller, after));
    await entered;
    for (const after of [3, 1, 2]) release.get(after)?.();
    const versions = (await Promise.all(results)).map(
      (result) => result.unwrapOr(undefined as never).version,
    );
    assert.deepEqual(versions, [1, 2, 3]);
  },
  'a failure of the handler arrives unchanged': async ({ caller, server }) => {
    const failure = createFailure(ResultCode.NotReady, 'later', { retryAfterMs: 20 });
    serve(server, () => Promise.resolve(Result.err(failure)));
    const result = await fetch(caller, 1);
    assert.deepEqual(result.isErr && result.error, failure);
  },
  'a handler that throws becomes an internal error': async ({ caller, server }) => {
    serve(server, () => Promise.reject(new Error('defect')));
    assert.equal(codeOf(await fetch(caller, 1)), ResultCode.Internal);
  },
  'a call without handler is refused and the link stays up': async ({ caller, server }) => {
    assert.equal(codeOf(await fetch(caller, 1)), ResultCode.UnknownMessage);
    serve(server, echo);
    assert.equal(codeOf(await fetch(caller, 1)), ResultCode.Ok);
  },
  'an invalid body is refused and the link stays up': async ({ caller, server }) => {
    serve(server, echo);
    assert.equal(codeOf(await fetch(caller, 'seven')), ResultCode.FrameMalformed);
    assert.equal(codeOf(await fetch(caller, 1)), ResultCode.Ok);
  },
  'an unknown node is unreachable, with nothing run': async ({ caller }) => {
    const result = await fetch(caller, 1, { node: 'nobody' });
    assert.equal(codeOf(result), ResultCode.PeerUnreachable);
    assert.equal(result.isErr && result.error.execution, 'not-run');
  },
  'a removed address makes the node unreachable': async ({ caller, server }) => {
    serve(server, echo);
    assert.equal(codeOf(await fetch(caller, 1)), ResultCode.Ok);
    caller.setAddress('server', undefined);
    assert.equal(codeOf(await fetch(caller, 1)), ResultCode.PeerUnreachable);
  },
  'no reply in time is a timeout of unknown execution, and the handler is aborted': async ({
    caller,
    server,
    clock,
  }) => {
    const { entered, aborted, handler } = createWaitingHandler();
    serve(server, handler);
    const call = fetch(caller, 1);
    await entered;
    clock.advance(1_000);
    const result = await call;
    assert.equal(codeOf(result), ResultCode.PeerTimeout);
    assert.equal(result.isErr && result.error.execution, 'unknown');
    await aborted;
  },
  'a late reply is dropped and later calls get their own': async ({ caller, server, clock }) => {
    let replyLate = (): void => {};
    let markEntered = (): void => {};
    const entered = new Promise<void>((resolve) => (markEntered = resolve));
    serve(server, async (request, signal, from) => {
      if (request.after === 1) {
        await new Promise<void>((resolve) => {
          replyLate = resolve;
          markEntered();
        });
      }
      return echo(request, signal, from);
    });
    const first = fetch(caller, 1);
    await entered;
    clock.advance(1_000);
    assert.equal(codeOf(await first), ResultCode.PeerTimeout);
    replyLate();
    for (const after of [2, 3]) {
      const result = await fetch(caller, after);
      assert.equal(result.unwrapOr(undefined as never).version, after);
    }
  },
  'an abort cancels the call and its handler': async ({ caller, server }) => {
    const { entered, aborted, handler } = createWaitingHandler();
    serve(server, handler);
    const controller = new AbortController();
    const call = fetch(caller, 1, { signal: controller.signal });
    await entered;
    controller.abort();
    assert.equal(codeOf(await call), ResultCode.Cancelled);
    await aborted;
  },
  'a call that was cancelled before it began is not sent': async ({ caller, server }) => {
    let handled = 0;
    serve(server, (request, signal, from) => {
      handled += 1;
      return echo(request, signal, from);
    });
    const result = await fetch(caller, 1, { signal: AbortSignal.abort() });
    assert.equal(codeOf(result), ResultCode.Cancelled);
    assert.equal(result.isErr && result.error.execution, 'not-run');
    await fetch(caller, 2);
    assert.equal(handled, 1);
  },
  'a node reaches its own handlers': async ({ caller }) => {
    serve(caller, echo);
    const result = await fetch(caller, 5, { node: 'caller' });
    assert.equal(result.unwrapOr(undefined as never).version, 5);
  },
  'a second handler for a name throws': ({ server }) => {
    serve(server, echo);
    assert.throws(() => {
      serve(server, echo);
    });
    return Promise.resolve();
  },
};

for (const [transport, createPair] of Object.entries(TRANSPORTS)) {
  for (const [name, run] of Object.entries(CASES)) {
    test(`${transport}: ${name}`, async () => {
      const pair = await createPair();
      try {
        await run(pair);
      } finally {
        await pair.close();
      }
    });
  }
}
