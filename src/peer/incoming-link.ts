/** The serving end of a link: checks the peer's proof, runs handlers and sends their replies. */
import type { Socket } from 'node:net';
import type { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { Envelope } from './frame-codec.js';
import type { HandlerRegistry } from './handler-registry.js';
import {
  createHelloFrame,
  createNonce,
  createProof,
  readHello,
  readProof,
  verifyProof,
  type HandshakeContext,
} from './handshake.js';
import { PeerLink, type LinkOptions } from './peer-link.js';

/** Messages from the handlers and the network to an incoming link. */
export type IncomingCommand =
  | {
      readonly type: 'finished';
      readonly id: number;
      readonly result: Result<unknown, Failure>;
    }
  /** Planned stop: accept no more calls, complete those that run. */
  | { readonly type: 'retire' };

/** Options of an incoming link. */
export interface IncomingLinkOptions extends LinkOptions {
  readonly handlers: HandlerRegistry;
  /** Called once when the link has ended. */
  readonly onEnd: (link: IncomingLink) => void;
}

/** A connection that carries one peer's calls to this node. */
export class IncomingLink extends PeerLink<IncomingCommand> {
  private readonly running = new Map<number, AbortController>();
  private readonly nonce = createNonce();
  private context: HandshakeContext | undefined;
  private lastId = 0;
  private retiring = false;

  constructor(
    socket: Socket,
    private readonly linkOptions: IncomingLinkOptions,
  ) {
    super(`from ${socket.remoteAddress ?? '?'}:${socket.remotePort ?? '?'}`, socket, linkOptions);
  }

  get inFlight(): number {
    return this.running.size;
  }

  protected onConnected(): void {}

  protected onHandshakeFrame(envelope: Envelope): void {
    if (this.context === undefined) this.onHello(envelope);
    else this.onProof(envelope, this.context);
  }

  protected onFrame(envelope: Envelope): boolean {
    switch (envelope.t) {
      case 'call':
        return this.onCall(envelope);
      case 'cancel':
        this.cancel(envelope.id);
        return true;
      default:
        return false;
    }
  }

  protected onCommand(command: IncomingCommand): void {
    if (command.type === 'retire') this.retire();
    else if (this.running.delete(command.id)) this.reply(command.id, command.result);
  }

  protected onEnd(): void {
    for (const controller of this.running.values()) controller.abort();
    this.running.clear();
    this.linkOptions.onEnd(this);
  }

  /** Announces the last handled call; the peer closes the link when it has the replies up to it. */
  private retire(): void {
    if (!this.isOpen) {
      this.end('node stops');
      return;
    }
    this.retiring = true;
    this.send({ t: 'goaway', id: this.lastId });
  }

  private onHello(envelope: Envelope): void {
    const { node, sharedKey } = this.linkOptions;
    const hello = readHello(envelope);
    if (hello === undefined) {
      this.rejectPeer('no valid hello of this protocol version');
      return;
    }
    this.context = {
      clientNode: hello.node,
      serverNode: node,
      clientNonce: hello.nonce,
      serverNonce: this.nonce,
    };
    const proof = createProof(sharedKey, 'server', this.context);
    this.send(createHelloFrame({ node, nonce: this.nonce, proof }));
  }

  private onProof(envelope: Envelope, context: HandshakeContext): void {
    if (!verifyProof(this.acceptedKeys, 'client', context, readProof(envelope))) {
      this.rejectPeer('wrong proof');
      return;
    }
    this.acceptPeer(context.clientNode);
  }

  private onCall({ id, name, body }: Envelope): boolean {
    if (id <= this.lastId || name === undefined) return false;
    // The peer sent this before it read the goaway, which shows it that the call is not handled.
    if (this.retiring) return true;
    this.lastId = id;
    if (this.running.size >= this.options.limits.maxInFlight) {
      this.replyFailure(id, createFailure(ResultCode.MailboxFull, 'too many calls in flight'));
      return true;
    }
    const controller = new AbortController();
    this.running.set(id, controller);
    void this.linkOptions.handlers
      .run(this.peerNode ?? '', name, body, controller.signal)
      .then((result) => this.post({ type: 'finished', id, result }));
    return true;
  }

  private cancel(id: number): void {
    const controller = this.running.get(id);
    this.running.delete(id);
    controller?.abort();
  }

  private reply(id: number, result: Result<unknown, Failure>): void {
    if (result.isErr) {
      this.replyFailure(id, result.error);
      return;
    }
    const sent = this.send({ t: 'reply', id, body: result.value });
    if (sent.isErr) this.replyFailure(id, this.describeUnsent(sent.error));
  }

  private replyFailure(id: number, failure: Failure): void {
    const sent = this.send({ t: 'reply', id, failure });
    if (sent.isErr) this.end('peer does not read its replies');
  }

  /** The call was handled although its reply cannot be sent. */
  private describeUnsent(failure: Failure): Failure {
    return { ...failure, detail: `reply not sent: ${failure.detail}`, execution: 'unknown' };
  }
}
