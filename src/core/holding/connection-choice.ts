/** Which connection is closed when connections hold too much together. */

/** What is known about an open connection. */
export interface HoldingConnection {
  /** Whether a request was ever accepted on it. */
  readonly hasServed: boolean;
  /** Requests accepted and not answered in full. */
  readonly unfinishedCount: number;
  /** Bytes of answers that the client has not read. */
  readonly unreadBytes: number;
}

/**
 * Connection that makes room for a new one: the oldest that never sent a whole request head, else the
 * oldest without a request in progress; undefined: all are in use.
 *
 * @param oldestFirst all open connections but the new one
 */
export function chooseIdleConnection<T extends HoldingConnection>(
  oldestFirst: Iterable<T>,
): T | undefined {
  let idle: T | undefined;
  for (const connection of oldestFirst) {
    if (connection.unfinishedCount > 0) continue;
    if (!connection.hasServed) return connection;
    idle ??= connection;
  }
  return idle;
}

/** Connection with the most unread bytes; undefined: none has any. */
export function chooseLargestBacklog<T extends { readonly unreadBytes: number }>(
  connections: Iterable<T>,
): T | undefined {
  let largest: T | undefined;
  for (const connection of connections) {
    if (connection.unreadBytes > (largest?.unreadBytes ?? 0)) largest = connection;
  }
  return largest;
}
