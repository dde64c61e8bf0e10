/**
 * Chooses an entry as docs/CALLERS.md requires of clients: an entry that sent `Connection: close`
 * or refused a connection is about to stop, so it is avoided for a while if there are others.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { ExchangeResult } from './http-exchange.js';

/** Time for which a stopping entry is avoided. */
const AVOID_MS = 3_000;

/** Entries of one client, with the times until which they are avoided. */
export class EntryChooser {
  private readonly avoidedUntil: number[];

  /** @param entries base URLs, at least one */
  constructor(readonly entries: readonly string[]) {
    this.avoidedUntil = entries.map(() => 0);
  }

  /** Returns the first entry from `start` on that is not avoided, or `start` if all are. */
  choose(now: number, start: number): number {
    for (let offset = 0; offset < this.entries.length; offset += 1) {
      const index = (start + offset) % this.entries.length;
      if (now >= this.avoidedUntil[index]!) return index;
    }
    return start % this.entries.length;
  }

  /** Records the result of an exchange with an entry. */
  note(now: number, index: number, result: ExchangeResult): void {
    const isStopping =
      result.type === 'not-sent' || (result.type === 'answer' && announcesClose(result.headers));
    if (isStopping) this.avoidedUntil[index] = now + AVOID_MS;
  }
}

function announcesClose(headers: IncomingHttpHeaders): boolean {
  return (headers.connection ?? '').toLowerCase() === 'close';
}
