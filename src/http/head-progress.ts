/** What node:http has read of a request head that has not arrived whole. It has no event for that. */
import type { Socket } from 'node:net';

interface ServerSocket {
  /** Collects the names and values of header fields until the head is whole. */
  readonly parser?: { readonly _headers?: readonly string[] } | null;
  /** Called by node:http after each block that its parser has read from the socket. */
  _unrefTimer(): void;
}

/** Calls a listener after each block that is read from a connection, and at other times. */
export function onEachBlock(socket: Socket, listener: () => void): void {
  const target = socket as unknown as ServerSocket;
  const refresh = target._unrefTimer.bind(socket);
  target._unrefTimer = () => {
    refresh();
    listener();
  };
}

/** Names and values of header fields that have arrived of an unfinished head; the newest may be missing. */
export function countBegunEntries(socket: Socket): number {
  return (socket as unknown as ServerSocket).parser?._headers?.length ?? 0;
}
