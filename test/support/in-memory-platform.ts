/** A PlatformClient over an in-memory store with planned faults. */
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../../src/core/failure.js';
import { ResultCode } from '../../src/core/result-code.js';
import type {
  Compare,
  KeyValue,
  Machine,
  PlatformClient,
  Put,
  RangeResult,
  TransactionResult,
  WatchEvent,
} from '../../src/etcd/platform-client.js';
import { KeyValueStore, type StoredValue } from '../../src/stand-ins/platform/key-value-store.js';

/** Outcome of a write; `late` takes effect only when {@link InMemoryPlatform.deliverLate} runs. */
export type WriteOutcome = 'ok' | 'refused' | 'lost-before' | 'lost-after' | 'late';

/** Planned outcomes of calls; a call without a plan succeeds. */
export interface PlatformPlan {
  readonly nextWrite?: () => WriteOutcome;
  readonly nextReadFails?: () => boolean;
  /** Lets a scheduler decide when each exchange continues. */
  readonly step?: () => Promise<void>;
}

/** The platform of a test; several clients may share one store. */
export class InMemoryPlatform implements PlatformClient {
  /** While true, refuses all calls and delivers no events. */
  down = false;
  /** While true, watches stay open and deliver no events. */
  watchesStall = false;
  machineList: readonly Machine[] = [];
  /** Reads so far. */
  reads = 0;
  /** Runs between a read and its answer. */
  delayAnswer: () => Promise<void> = () => Promise.resolve();
  private readonly late: (() => void)[] = [];
  private readonly watchers = new Set<(event: WatchEvent) => void>();

  constructor(
    readonly store = new KeyValueStore(),
    private readonly plan: PlatformPlan = {},
  ) {}

  get available(): boolean {
    return !this.down;
  }

  get watchCount(): number {
    return this.watchers.size;
  }

  async range(prefix: string): Promise<Result<RangeResult, Failure>> {
    this.reads += 1;
    await this.plan.step?.();
    if (this.down || this.plan.nextReadFails?.() === true) return unavailable();
    const { values } = this.store.range({ key: prefix, end: `${prefix}\u00ff` });
    const { revision } = this.store;
    await this.delayAnswer();
    return Result.ok({ values: values.map(toKeyValue), revision });
  }

  async transact(
    compares: readonly Compare[],
    puts: readonly Put[],
  ): Promise<Result<TransactionResult, Failure>> {
    await this.plan.step?.();
    const outcome = this.down ? 'refused' : (this.plan.nextWrite?.() ?? 'ok');
    if (outcome === 'refused') return unavailable();
    if (outcome === 'late') this.late.push(() => this.write(compares, puts));
    if (outcome === 'late' || outcome === 'lost-before') return unknown();
    const result = this.write(compares, puts);
    await this.plan.step?.();
    return outcome === 'lost-after' ? unknown() : Result.ok(result);
  }

  watch(prefix: string, from: number, listener: (event: WatchEvent) => void): () => void {
    if (this.down) {
      queueMicrotask(() => {
        listener({ type: 'lost', failure: createFailure(ResultCode.PlatformUnavailable, 'down') });
      });
      return () => {};
    }
    const deliver = (events: readonly { keyValue: StoredValue }[]) => {
      for (const { keyValue } of events) {
        if (this.down || this.watchesStall || !keyValue.key.startsWith(prefix)) continue;
        listener({ type: 'put', keyValue: toKeyValue(keyValue) });
      }
    };
    const unsubscribe = this.store.subscribe(deliver);
    const stop = () => {
      unsubscribe();
      this.watchers.delete(listener);
    };
    this.watchers.add(listener);
    deliver(this.store.eventsSince(from));
    return stop;
  }

  machines(): Promise<Result<readonly Machine[], Failure>> {
    const result = Result.ok<readonly Machine[], Failure>(this.machineList);
    return Promise.resolve(this.down ? unavailable() : result);
  }

  /** Starts an outage: every watch is lost. */
  startOutage(): void {
    this.down = true;
    const failure = createFailure(ResultCode.PlatformUnavailable, 'outage');
    const lost = [...this.watchers];
    this.watchers.clear();
    for (const listener of lost) listener({ type: 'lost', failure });
  }

  /** Applies the writes with outcome `late` to the store. */
  deliverLate(): void {
    for (const write of this.late.splice(0)) write();
  }

  private write(compares: readonly Compare[], puts: readonly Put[]): TransactionResult {
    const { succeeded } = this.store.transact(
      compares.map(({ key, modRevision }) => ({ key, target: 'MOD', value: modRevision })),
      puts.map(({ key, value }) => ({ type: 'put', key, value, lease: 0 })),
      [],
    );
    return { succeeded, revision: this.store.revision };
  }
}

function toKeyValue({ key, value, createRevision, modRevision, version }: StoredValue): KeyValue {
  return { key, value, createRevision, modRevision, version };
}

function unavailable<T>(): Result<T, Failure> {
  return Result.err(createFailure(ResultCode.PlatformUnavailable, 'planned fault'));
}

function unknown<T>(): Result<T, Failure> {
  return Result.err(createFailure(ResultCode.WriteOutcomeUnknown, 'planned fault'));
}
