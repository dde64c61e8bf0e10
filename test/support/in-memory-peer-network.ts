/**
 * Calls between nodes of one process, with the same contract as the TCP network, and with cuts
 * and delays per pair of nodes. Messages pass through the codec, so that a receiver never
 * shares objects with the sender.
 */
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../../src/core/failure.js';
import { ResultCode } from '../../src/core/result-code.js';
import type { Clock } from '../../src/kernel/clock.js';
import { decodeFrame, encodeFrame } from '../../src/peer/frame-codec.js';
import { HandlerRegistry } from '../../src/peer/handler-registry.js';
import { callLocally } from '../../src/peer/local-call.js';
import type { PeerCallName, PeerCalls } from '../../src/peer/messages.js';
import type {
  BodyValidator,
  PeerCallHandler,
  PeerCallOptions,
  PeerNetwork,
} from '../../src/peer/peer-network.js';

const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Connects the networks of all nodes of one process. */
export class InMemoryPeerHub {
  private readonly networks = new Map<string, InMemoryPeerNetwork>();
  private readonly cuts = new Set<string>();
  private readonly delays = new Map<string, number>();

  constructor(readonly clock: Clock) {}

  /** Creates the network of one node; a second one replaces the first, as a restart does. */
  createNetwork(node: string): InMemoryPeerNetwork {
    const network = new InMemoryPeerNetwork(this, node);
    this.networks.set(node, network);
    return network;
  }

  /** Removes a node, as if its process had crashed. */
  remove(node: string): void {
    this.networks.delete(node);
  }

  /** Drops messages from one node to another, in this direction only. */
  cut(from: string, to: string): void {
    this.cuts.add(pairKey(from, to));
  }

  /** Ends a {@link cut}. */
  heal(from: string, to: string): void {
    this.cuts.delete(pairKey(from, to));
  }

  /** Delays each message from one node to another. */
  setDelay(from: string, to: string, delayMs: number): void {
    this.delays.set(pairKey(from, to), delayMs);
  }

  /** Whether messages from one node to the other are dropped. */
  isCut(from: string, to: string): boolean {
    return this.cuts.has(pairKey(from, to));
  }

  /** Returns the node's network if the node runs. */
  find(node: string): InMemoryPeerNetwork | undefined {
    return this.networks.get(node);
  }

  /** Runs `deliver` after the delay of the pair, unless the pair is cut. */
  transfer(from: string, to: string, deliver: () => void): void {
    if (this.isCut(from, to)) return;
    const delayMs = this.delays.get(pairKey(from, to)) ?? 0;
    if (delayMs > 0) this.clock.schedule(delayMs, deliver);
    else queueMicrotask(deliver);
  }
}

/** One node's view of the hub. Setting any address makes a node known; the address is not used. */
export class InMemoryPeerNetwork implements PeerNetwork {
  readonly handlers = new HandlerRegistry();
  private readonly known = new Set<string>();

  constructor(
    private readonly hub: InMemoryPeerHub,
    private readonly self: string,
  ) {}

  call<K extends PeerCallName>(
    node: string,
    name: K,
    request: PeerCalls[K]['request'],
    { timeoutMs, signal }: PeerCallOptions,
  ): Promise<Result<PeerCalls[K]['reply'], Failure>> {
    type Reply = Result<PeerCalls[K]['reply'], Failure>;
    if (signal?.aborted === true) {
      const failure = createFailure(ResultCode.Cancelled, 'cancelled', { execution: 'not-run' });
      return Promise.resolve(Result.err(failure));
    }
    if (node === this.self) {
      const call = { node, name, request, timeoutMs, signal };
      return callLocally(this.handlers, this.hub.clock, call) as Promise<Reply>;
    }
    if (!this.known.has(node) || this.hub.find(node) === undefined) {
      const failure = createFailure(ResultCode.PeerUnreachable, `${node} is not reachable`);
      return Promise.resolve(Result.err(failure));
    }
    const body = copy(request);
    if (body.isErr) return Promise.resolve(Result.err(body.error));
    return this.exchange(node, name, body.value, timeoutMs, signal) as Promise<Reply>;
  }

  handle<K extends PeerCallName>(
    name: K,
    validate: BodyValidator<PeerCalls[K]['request']>,
    handler: PeerCallHandler<K>,
  ): void {
    this.handlers.register(name, validate as BodyValidator<never>, handler);
  }

  setAddress(node: string, address: string | undefined): void {
    if (address === undefined) this.known.delete(node);
    else this.known.add(node);
  }

  private exchange(
    node: string,
    name: string,
    body: unknown,
    timeoutMs: number,
    signal: AbortSignal | undefined,
  ): Promise<Result<unknown, Failure>> {
    const { hub, self } = this;
    return new Promise((resolve) => {
      const remote = new AbortController();
      const settle = (result: Result<unknown, Failure>): void => {
        cancelTimer();
        signal?.removeEventListener('abort', onAbort);
        resolve(result);
      };
      const giveUp = (code: ResultCode): void => {
        settle(Result.err(createFailure(code, `${name} at ${node}`)));
        hub.transfer(self, node, () => {
          remote.abort();
        });
      };
      const onAbort = (): void => {
        giveUp(ResultCode.Cancelled);
      };
      const cancelTimer = hub.clock.schedule(timeoutMs, () => {
        giveUp(ResultCode.PeerTimeout);
      });
      signal?.addEventListener('abort', onAbort, { once: true });
      hub.transfer(self, node, () => {
        const handlers = hub.find(node)?.handlers;
        void handlers?.run(self, name, body, remote.signal).then((result) => {
          const reply = result.andThen(copy);
          hub.transfer(node, self, () => {
            settle(reply);
          });
        });
      });
    });
  }
}

function copy(body: unknown): Result<unknown, Failure> {
  return encodeFrame({ t: 'call', id: 0, body }, MAX_FRAME_BYTES)
    .andThen(decodeFrame)
    .map((envelope) => envelope.body);
}

function pairKey(from: string, to: string): string {
  return `${from} ${to}`;
}
