/** One connection to another node: connects and waits for the greeting with which the other node starts. */
import { connect } from 'node:net';
import { splitAddress } from '../../core/host-and-port.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import type { LinkMessage } from './link-messages.js';
import { LinkSocket, type LinkSocketListener } from './link-socket.js';

/** Time limit for the connection and the greeting. */
const GREETING_TIMEOUT_MS = 600;

/** First message of the accepting node. */
export type Greeting = Extract<LinkMessage, { type: 'hello' }>;

/** Callbacks of a connection. */
export interface OutgoingConnectionListener {
  /** Called once, before any message. */
  onGreeting(connection: OutgoingConnection, greeting: Greeting): void;
  onMessage(connection: OutgoingConnection, message: LinkMessage): void;
  /** Called once when the connection has ended, whatever the reason. */
  onClosed(connection: OutgoingConnection, detail: string): void;
}

export interface OutgoingConnectionOptions {
  /** Expected identity of the other node. */
  readonly node: string;
  /** IP address and port. */
  readonly address: string;
  readonly clock: Clock;
  readonly listener: OutgoingConnectionListener;
}

/** A connection that this node has opened; ends by itself unless the greeting arrives in time. */
export class OutgoingConnection implements LinkSocketListener {
  private readonly socket: LinkSocket;
  private readonly cancelGreetingTimer: CancelTimer;
  private greeted = false;

  constructor(private readonly options: OutgoingConnectionOptions) {
    this.socket = new LinkSocket(connect(splitAddress(options.address)), this);
    this.cancelGreetingTimer = options.clock.schedule(GREETING_TIMEOUT_MS, () => {
      this.close('connection or greeting timed out');
    });
  }

  /** Whether more messages may be sent; see {@link LinkSocket.hasRoom}. */
  get hasRoom(): boolean {
    return this.socket.hasRoom;
  }

  send(message: LinkMessage): void {
    this.socket.send(message);
  }

  close(detail: string): void {
    this.socket.close(detail);
  }

  onMessage(message: LinkMessage): void {
    const { listener } = this.options;
    if (this.greeted) listener.onMessage(this, message);
    else if (message.type === 'hello') this.onGreeting(message);
    else this.close(`unexpected message ${message.type} before the greeting`);
  }

  onClosed(detail: string): void {
    this.cancelGreetingTimer();
    this.options.listener.onClosed(this, detail);
  }

  private onGreeting(greeting: Greeting): void {
    const { node, listener } = this.options;
    if (greeting.status.node !== node) {
      this.close(`unexpected node ${greeting.status.node} at this address`);
      return;
    }
    this.greeted = true;
    this.cancelGreetingTimer();
    listener.onGreeting(this, greeting);
  }
}
