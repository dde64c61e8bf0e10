/** Journal of a back end: attempts that arrived, began and took effect, by request. */

/** Attempts of one request at one back end. Times are in Unix milliseconds. */
export interface JournalEntry {
  readonly request: string;
  readonly method: string;
  readonly path: string;
  /** Attempts that arrived, including refused ones. */
  received: number;
  /** Attempts that the back end refused before they began to run. */
  refused: number;
  /** Times at which attempts got a slot. */
  readonly begunAt: number[];
  /** Times at which attempts took effect. */
  readonly effectAt: number[];
  /** Attempts whose client closed its connection before the answer was sent. */
  cancelled: number;
}

/** Counters of one back end over all requests. */
export interface BackendCounters {
  /** Requests that arrived without a request id. */
  anonymous: number;
  /** Unix milliseconds at which the back end began to drain; 0 while it does not drain. */
  drainStartedAt: number;
  /** Unix milliseconds at which the last request arrived. */
  lastReceivedAt: number;
  /** Requests that arrived after the back end began to drain. */
  receivedWhileDraining: number;
  /** Connections closed because the limit was reached. */
  connectionsRefused: number;
  /** Complete answers to downstream calls that belonged to another request. */
  wrongAnswersBelow: number;
}

/** The journal as returned by `GET /control/journal`. */
export interface BackendJournal {
  readonly service: string;
  readonly target: string;
  readonly counters: BackendCounters;
  readonly entries: readonly JournalEntry[];
}

/** In-memory journal. */
export class EffectsJournal {
  readonly counters: BackendCounters = {
    anonymous: 0,
    drainStartedAt: 0,
    lastReceivedAt: 0,
    receivedWhileDraining: 0,
    connectionsRefused: 0,
    wrongAnswersBelow: 0,
  };
  private readonly entries = new Map<string, JournalEntry>();

  constructor(
    private readonly service: string,
    private readonly target: string,
  ) {}

  /** Records the arrival of an attempt and returns the entry of its request. */
  receive(request: string, method: string, path: string): JournalEntry {
    const now = Date.now();
    this.counters.lastReceivedAt = now;
    if (this.counters.drainStartedAt > 0) this.counters.receivedWhileDraining += 1;
    const entry = this.entries.get(request) ?? createEntry(request, method, path);
    this.entries.set(request, entry);
    entry.received += 1;
    return entry;
  }

  /** Returns the journal for the control endpoint. */
  snapshot(): BackendJournal {
    return {
      service: this.service,
      target: this.target,
      counters: this.counters,
      entries: [...this.entries.values()],
    };
  }
}

function createEntry(request: string, method: string, path: string): JournalEntry {
  return {
    request,
    method,
    path,
    received: 0,
    refused: 0,
    begunAt: [],
    effectAt: [],
    cancelled: 0,
  };
}
