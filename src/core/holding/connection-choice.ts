/** Which connection is closed when connections hold too much together. */

/** What is known about an open connection. */
export interface HoldingConnection {
  /** Whether a request was ever accepted on it. */
  readonly hasServed: boolean;
  /** Requests accepted and not answered in full. */
  readonly unfinishedCount: number;
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

/** The one with the most bytes; undefined: none has any. */
export function chooseLargest<T>(
  candidates: Iterable<T>,
  bytesOf: (candidate: T) => number,
): T | undefined {
  let largest: T | undefined;
  let most = 0;
  for (const candidate of candidates) {
    const bytes = bytesOf(candidate);
    if (bytes <= most) continue;
    most = bytes;
    largest = candidate;
  }
  return largest;
}
