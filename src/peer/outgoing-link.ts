/** The calling end of a link: connects, authenticates, sends calls and matches their replies. */
import { Result } from 'true-myth';
import { splitAddress } from '../core/host-and-port.js';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { CancelTimer } from '../kernel/clock.js';
import type { Envelope } from './frame-codec.js';
import {
  createHelloFrame,
  createNonce,
  createProof,
  createProofFrame,
  readHello,
  verifyProof,
} from './handshake.js';
import { PeerLink, type LinkOptions } from './peer-link.js';
import { connectToPeer } from './tls-options.js';

/** A call as the link sends it. */
export interface OutgoingCall {
  readonly name: string;
  readonly body: unknown;
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
  /** Called exactly once. */
  readonly resolve: (result: Result<unknown, Failure>) => void;
}

/** Messages from the network, timers and abort signals to an outgoing link. */
export type OutgoingCommand =
  | { readonly type: 'call'; readonly call: OutgoingCall }
  | { readonly type: 'expire'; readonly id: number }
  | { readonly type: 'abort'; readonly id: number };

interface PendingCall {
  readonly call: OutgoingCall;
  sent: boolean;
  readonly cancelTimer: CancelTimer;
  readonly onAbort: (() => void) | undefined;
}

/** Options of an outgoing link. */
export interface OutgoingLinkOptions extends LinkOptions {
  readonly peer: string;
  readonly address: string;
  /** Called when the peer accepts no more calls on this link. */
  readonly onRetire: (link: OutgoingLink) => void;
  /** Called once when the link has ended; `wasOpen`: whether the peer was ever authenticated. */
  readonly onEnd: (link: OutgoingLink, wasOpen: boolean) => void;
}

/** A connection that carries this node's calls to one peer. */
export class OutgoingLink extends PeerLink<OutgoingCommand> {
  private readonly pending = new Map<number, PendingCall>();
  private readonly nonce = createNonce();
  private lastId = 0;
  private retiring = false;

  constructor(private readonly linkOptions: OutgoingLinkOptions) {
    const socket = connectToPeer(splitAddress(linkOptions.address), linkOptions.tls);
    super(`to ${linkOptions.peer}`, socket, linkOptions);
  }

  get inFlight(): number {
    return this.pending.size;
  }

  protected onConnected(): void {
    const { node, peer } = this.linkOptions;
    this.send(createHelloFrame({ node, to: peer, nonce: this.nonce }));
  }

  protected onHandshakeFrame(envelope: Envelope): void {
    const { node, peer, sharedKey } = this.linkOptions;
    const hello = readHello(envelope);
    if (hello?.node !== peer) {
      this.rejectPeer(
        `expected ${peer}, found ${hello?.node ?? 'no valid hello of this protocol version'}`,
      );
      return;
    }
    const context = {
      clientNode: node,
      serverNode: peer,
      clientNonce: this.nonce,
      serverNonce: hello.nonce,
    };
    if (!verifyProof(this.acceptedKeys, 'server', context, hello.proof)) {
      this.rejectPeer('wrong proof');
      return;
    }
    this.send(createProofFrame(createProof(sharedKey, 'client', context)));
    this.acceptPeer(peer);
    for (const id of [...this.pending.keys()]) this.transmit(id);
  }

  protected onFrame(envelope: Envelope): boolean {
    if (envelope.t === 'goaway') {
      this.retire(envelope.id);
      return true;
    }
    if (envelope.t !== 'reply') return false;
    // A reply to a call that has timed out or was cancelled is dropped: ids are never reused.
    const result =
      envelope.failure === undefined ? Result.ok(envelope.body) : Result.err(envelope.failure);
    this.settle(envelope.id, result as Result<unknown, Failure>);
    return envelope.id <= this.lastId;
  }

  protected onCommand(command: OutgoingCommand): void {
    switch (command.type) {
      case 'call':
        this.start(command.call);
        break;
      case 'expire':
        this.giveUp(command.id, ResultCode.PeerTimeout, 'no reply in time');
        break;
      case 'abort':
        this.giveUp(command.id, ResultCode.Cancelled, 'cancelled');
        break;
    }
  }

  protected onEnd(detail: string): void {
    for (const [id, { sent }] of [...this.pending]) {
      const code = sent ? ResultCode.PeerLost : ResultCode.PeerUnreachable;
      this.settle(id, Result.err(createFailure(code, `${this.linkOptions.peer}: ${detail}`)));
    }
    this.linkOptions.onEnd(this, this.peerNode !== undefined);
  }

  /** Planned stop of the peer: calls after the last one that it accepted were not handled. */
  private retire(lastHandled: number): void {
    this.retiring = true;
    this.linkOptions.onRetire(this);
    const failure = createFailure(
      ResultCode.PeerUnreachable,
      `${this.linkOptions.peer} is stopping`,
    );
    for (const id of [...this.pending.keys()]) {
      if (id > lastHandled) this.settle(id, Result.err(failure));
    }
    if (this.pending.size === 0) this.end('peer stops');
  }

  private start(call: OutgoingCall): void {
    if (this.isEnded || this.retiring) {
      call.resolve(Result.err(createFailure(ResultCode.PeerUnreachable, 'link has ended')));
      return;
    }
    if (this.pending.size >= this.options.limits.maxInFlight) {
      const detail = `${this.pending.size} calls in flight`;
      call.resolve(Result.err(createFailure(ResultCode.MailboxFull, detail)));
      return;
    }
    this.lastId += 1;
    const id = this.lastId;
    const cancelTimer = this.options.clock.schedule(call.timeoutMs, () => {
      this.post({ type: 'expire', id });
    });
    const onAbort =
      call.signal === undefined ? undefined : () => void this.post({ type: 'abort', id });
    if (onAbort !== undefined) call.signal?.addEventListener('abort', onAbort, { once: true });
    this.pending.set(id, { call, sent: false, cancelTimer, onAbort });
    if (this.isOpen) this.transmit(id);
  }

  private transmit(id: number): void {
    const entry = this.pending.get(id);
    if (entry === undefined) return;
    const { name, body } = entry.call;
    const sent = this.send({ t: 'call', id, name, body });
    if (sent.isErr) {
      this.settle(id, Result.err(sent.error));
      return;
    }
    entry.sent = true;
  }

  /** Ends a call at this node and notifies the peer, so that it stops working on it. */
  private giveUp(id: number, code: ResultCode, detail: string): void {
    const entry = this.pending.get(id);
    if (entry === undefined) return;
    if (entry.sent) {
      this.send({ t: 'cancel', id });
      this.settle(id, Result.err(createFailure(code, detail)));
      return;
    }
    const unsent = code === ResultCode.PeerTimeout ? ResultCode.PeerUnreachable : code;
    const options = { execution: 'not-run' } as const;
    this.settle(id, Result.err(createFailure(unsent, `${detail}; not sent`, options)));
  }

  private settle(id: number, result: Result<unknown, Failure>): void {
    const entry = this.pending.get(id);
    if (entry === undefined) return;
    this.pending.delete(id);
    entry.cancelTimer();
    if (entry.onAbort !== undefined) entry.call.signal?.removeEventListener('abort', entry.onAbort);
    entry.call.resolve(result);
    if (this.retiring && this.pending.size === 0) this.end('peer stops');
  }
}
