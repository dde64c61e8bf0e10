/**
 * Choice of an entry as docs/CALLERS.md asks clients for: an entry that said `Connection: close`
 * or refused a connection is about to stop, and is passed over for a while when there are others.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { ExchangeResult } from './http-exchange.js';

/** Milliseconds for which such an entry is passed over. */
const AVOID_MS = 3_000;

/** Entries of one caller process. */
export class EntryChooser {
  private readonly avoidedUntil: number[];

  /** @param entries base URLs, at least one */
  constructor(readonly entries: readonly string[]) {
    this.avoidedUntil = entries.map(() => 0);
  }

  /** The first entry from `start` on that is not passed over, or `start` when all are. */
  choose(now: number, start: number): number {
    for (let offset = 0; offset < this.entries.length; offset += 1) {
      const index = (start + offset) % this.entries.length;
      if (now >= this.avoidedUntil[index]!) return index;
    }
    return start % this.entries.length;
  }

  /** Takes in how an exchange with an entry ended. */
  note(now: number, index: number, result: ExchangeResult): void {
    const stops =
      result.type === 'not-sent' || (result.type === 'answer' && saysClose(result.headers));
    if (stops) this.avoidedUntil[index] = now + AVOID_MS;
  }
}

function saysClose(headers: IncomingHttpHeaders): boolean {
  return (headers.connection ?? '').toLowerCase() === 'close';
}
