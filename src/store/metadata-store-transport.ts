/** Carries requests to the store and its answers; adapters build the operations of the store on it. */
import type { IncomingHttpHeaders } from 'node:http';
import type { StoreConnectionKind } from './metadata-store.js';

/** A request to the store. */
export interface StoreRequest {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string | number>>;
  readonly body?: Buffer;
  /** Longest wait for the answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Whether the store may hold the answer back until something changes. */
  readonly isWait?: boolean;
  /** Whether to use a connection of its own, which cannot have gone silent before. */
  readonly onNewConnection?: boolean;
}

/** How a request ended. */
export type StoreExchange =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  | {
      readonly type: 'failure';
      readonly detail: string;
      readonly waitedMs: number;
      readonly connection: StoreConnectionKind;
    }
  /** A wait was ended by this node, since its connection may have gone silent. */
  | { readonly type: 'interrupted' };

/** Connections to the store. */
export interface StoreTransport {
  /** Sends a request; never rejects. */
  send(request: StoreRequest): Promise<StoreExchange>;
  /** Closes idle connections and interrupts all waits: their connections may have gone silent. */
  replaceAll(): void;
  /** Ends all requests. */
  close(): void;
}
