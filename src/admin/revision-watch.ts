import type { ConfigStore, RevisionRecord } from '../config/config-store.js';

/**
 * Yields each tenant's revision in force at this node, then each newer one. A slow reader skips
 * revisions that have already been replaced, but always gets the newest.
 *
 * @param tenant absent for all tenants
 * @param signal ends the stream
 */
export async function* watchRevisions(
  store: ConfigStore,
  tenant: string | undefined,
  signal: AbortSignal,
): AsyncGenerator<RevisionRecord> {
  const sent = new Map<string, number>();
  const change = new ChangeSignal();
  const unsubscribe = store.subscribe(change.raise);
  signal.addEventListener('abort', change.raise, { once: true });
  try {
    while (!signal.aborted) {
      const changed = change.next();
      const records = store
        .records()
        .filter((record) => tenant === undefined || record.tenant === tenant);
      for (const record of records) {
        if (record.version <= (sent.get(record.tenant) ?? 0)) continue;
        sent.set(record.tenant, record.version);
        yield record;
      }
      await changed;
    }
  } finally {
    unsubscribe();
    signal.removeEventListener('abort', change.raise);
  }
}

/** Wakes one waiter; a change raised after `next` was called is not lost. */
class ChangeSignal {
  private resolve: () => void = () => {};
  readonly raise = (): void => {
    this.resolve();
  };

  next(): Promise<void> {
    return new Promise((resolve) => {
      this.resolve = resolve;
    });
  }
}
