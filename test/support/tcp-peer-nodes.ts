/** Nodes with TCP peer networks, and a raw client, for the tests of src/peer. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { type TestContext } from 'node:test';
import { Result } from 'true-myth';
import { createRandom } from '../../src/core/random.js';
import { ResultCode } from '../../src/core/result-code.js';
import { splitAddress } from '../../src/core/host-and-port.js';
import { ManualClock } from '../../src/kernel/clock.js';
import { Event, type EventFields, type EventLog } from '../../src/kernel/event.js';
import { decodeFrame, encodeFrame, type Envelope } from '../../src/peer/frame-codec.js';
import { FrameReader } from '../../src/peer/frame-reader.js';
import {
  createHelloFrame,
  createNonce,
  createProof,
  createProofFrame,
  readHello,
} from '../../src/peer/handshake.js';
import { TcpPeerNetwork } from '../../src/peer/tcp-peer-network.js';

export const KEY = 'a key of the TCP tests';
export const MAX_FRAME_BYTES = 20_000;

export class EventRecorder implements EventLog {
  readonly events: { event: Event; fields: EventFields }[] = [];
  private waiting: (() => void)[] = [];

  emit(event: Event, fields: EventFields = {}): void {
    this.events.push({ event, fields });
    for (const wake of this.waiting.splice(0)) wake();
  }

  async waitFor(event: Event): Promise<EventFields> {
    for (;;) {
      const found = this.events.find((entry) => entry.event === event);
      if (found !== undefined) return found.fields;
      await new Promise<void>((resolve) => this.waiting.push(resolve));
    }
  }
}

export interface Node {
  readonly network: TcpPeerNetwork;
  readonly log: EventRecorder;
  readonly clock: ManualClock;
}

export async function startNode(
  context: TestContext,
  node: string,
  overrides: { sharedKey?: string; clock?: ManualClock; maxInFlight?: number } = {},
): Promise<Node> {
  const log = new EventRecorder();
  const clock = overrides.clock ?? new ManualClock();
  const network = new TcpPeerNetwork({
    node,
    address: '127.0.0.1:0',
    sharedKey: overrides.sharedKey ?? KEY,
    maxUnauthenticated: 512,
    limits: {
      maxFrameBytes: MAX_FRAME_BYTES,
      maxInFlight: overrides.maxInFlight ?? 10,
      maxMailboxLength: 100,
      maxWriteBacklogBytes: 1_000_000,
    },
    clock,
    log,
    random: createRandom(1),
  });
  await network.listen();
  context.after(() => network.close());
  return { network, log, clock };
}

export function serveEcho({ network }: Node): void {
  network.handle(
    'configFetch',
    (body) => Result.ok(body as { after: number }),
    (_from, { after }) => Promise.resolve(Result.ok({ records: [], version: after })),
  );
}

export async function fetchCode(
  { network }: Node,
  node: string,
  after: unknown = 1,
): Promise<ResultCode> {
  const result = await network.call(
    node,
    'configFetch',
    { after: after as number },
    { timeoutMs: 1_000 },
  );
  return result.isErr ? result.error.code : ResultCode.Ok;
}

export function encode(envelope: Envelope): Buffer {
  return encodeFrame(envelope, MAX_FRAME_BYTES).unwrapOr(Buffer.alloc(0));
}

/** A client connection that sends and receives single frames. */
export class RawClient {
  private readonly frames: Envelope[] = [];
  private wake: () => void = () => {};
  readonly closed: Promise<unknown>;

  constructor(readonly socket: Socket) {
    const reader = new FrameReader(MAX_FRAME_BYTES);
    socket.on('data', (chunk) => {
      reader.read(chunk, (frame) => this.frames.push(decodeFrame(frame).unwrapOr(undefined!)) > 0);
      this.wake();
    });
    socket.on('error', () => {});
    this.closed = once(socket, 'close');
  }

  async next(): Promise<Envelope> {
    while (this.frames.length === 0) await new Promise<void>((resolve) => (this.wake = resolve));
    return this.frames.shift()!;
  }

  /** Authenticates as node `raw` with the correct key. */
  async authenticate(): Promise<void> {
    const clientNonce = createNonce();
    this.socket.write(encode(createHelloFrame({ node: 'raw', to: 'node-b', nonce: clientNonce })));
    const hello = readHello(await this.next());
    const context = {
      clientNode: 'raw',
      serverNode: 'node-b',
      clientNonce,
      serverNonce: hello!.nonce,
    };
    this.socket.write(encode(createProofFrame(createProof(KEY, 'client', context))));
  }
}

export function openRaw(context: TestContext, node: Node): RawClient {
  const socket = connect(splitAddress(node.network.localAddress));
  context.after(() => socket.destroy());
  return new RawClient(socket);
}
