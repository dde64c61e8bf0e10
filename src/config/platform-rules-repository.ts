/**
 * RulesRepository over the platform's key-value service.
 *
 * A change is one transaction that compares the last change of all tenants and the absence of
 * its operation id. A transaction whose answer was lost can therefore be sent again: of all
 * copies at most one takes effect, however late the others arrive.
 *
 * See docs/design/configuration.md and spec/revision.pml.
 */
import { Result } from 'true-myth';
import { createFailure, type Failure } from '../core/failure.js';
import { createRandom, type Random } from '../core/random.js';
import { ResultCode } from '../core/result-code.js';
import type { Clock } from '../kernel/clock.js';
import { Event, type EventLog } from '../kernel/event.js';
import type { PlatformClient, Put } from '../etcd/platform-client.js';
import {
  checkFields,
  reportConflict,
  createContentionFailure,
  endWith,
  expectSameChange,
  toUnknown,
  type Change,
  type Round,
} from './apply-outcome.js';
import { findClaimConflicts } from './claim-conflicts.js';
import type { RevisionRecord } from './config-store.js';
import { parseRules, type Rules } from './rules.js';
import type { ApplyFailure, ApplyRequest, RulesRepository } from './rules-repository.js';
import {
  currentKey,
  decodeRevision,
  encodeRevision,
  HEAD_KEY,
  historyBlockPrefix,
  historyKey,
  operationKey,
  readSnapshot,
  type RulesSnapshot,
} from './stored-revision.js';

/** Time within which the outcome of a change is known or reported as unknown, in milliseconds. */
const APPLY_TIME_LIMIT_MS = 5_000;
/** Bounds of the random pause before another round, in milliseconds. */
const MIN_PAUSE_MS = 20;
const MAX_PAUSE_MS = 200;

export interface PlatformRulesRepositoryOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Seed of the pauses' jitter. */
  readonly seed: number;
  /** Called with what was read or accepted: the newest records of all tenants at one moment. */
  readonly onSnapshot: (records: readonly RevisionRecord[]) => void;
}

/** See {@link RulesRepository} for the contract. */
export class PlatformRulesRepository implements RulesRepository {
  private readonly random: Random;

  constructor(private readonly options: PlatformRulesRepositoryOptions) {
    this.random = createRandom(options.seed);
  }

  validate(tenant: string, document: string): Result<Rules, Failure> {
    return parseRules(document).andThen((rules) => {
      if (rules.tenant === tenant) return Result.ok<Rules, Failure>(rules);
      const detail = `the document is of tenant ${rules.tenant}, not ${tenant}`;
      return Result.err<Rules, Failure>(createFailure(ResultCode.TenantMismatch, detail));
    });
  }

  async apply(request: ApplyRequest): Promise<Result<RevisionRecord, ApplyFailure>> {
    const validated = checkFields(request).andThen(() =>
      this.validate(request.tenant, request.document),
    );
    if (validated.isErr) return this.reject(request, validated.error);
    const result = await this.settle({ ...request, rules: validated.value });
    if (result.isErr) return this.reject(request, result.error);
    const { tenant, revision, version, author } = result.value;
    this.options.log.emit(Event.RulesAccepted, { tenant, revision, version, author });
    return result;
  }

  async get(tenant: string, revision?: number): Promise<Result<RevisionRecord, Failure>> {
    const key = revision === undefined ? currentKey(tenant) : historyKey(tenant, revision);
    const read = await this.options.platform.range(key);
    if (read.isErr) return Result.err(read.error);
    const found = read.value.values[0];
    const record = found && decodeRevision(found);
    if (record !== undefined) return Result.ok(record);
    const detail = found === undefined ? 'no such revision' : 'stored revision cannot be read';
    const code = found === undefined ? ResultCode.RevisionNotFound : ResultCode.Internal;
    return Result.err(createFailure(code, `${tenant} ${revision ?? 'newest'}: ${detail}`));
  }

  async history(
    tenant: string,
    limit: number,
  ): Promise<Result<readonly RevisionRecord[], Failure>> {
    const newest = await this.get(tenant);
    if (newest.isErr) return Result.err(newest.error);
    const records: RevisionRecord[] = [];
    let next = newest.value.revision;
    while (next > 0 && records.length < limit) {
      const read = await this.options.platform.range(historyBlockPrefix(tenant, next));
      if (read.isErr) return Result.err(read.error);
      const block = read.value.values.flatMap((keyValue) => decodeRevision(keyValue) ?? []);
      records.push(...block.sort((a, b) => b.revision - a.revision));
      next = next - (next % 10) - 1;
    }
    return Result.ok(records.slice(0, limit));
  }

  /** Runs rounds of read and write until the outcome is known or the time is up. */
  private async settle(change: Change): Promise<Result<RevisionRecord, ApplyFailure>> {
    const { clock } = this.options;
    const deadline = clock.now() + APPLY_TIME_LIMIT_MS;
    let outstanding = false;
    for (;;) {
      const round = await this.runRound(change);
      if (round.type === 'done') return round.result;
      const { code, retryAfterMs = 0 } = round.failure;
      outstanding ||= code === ResultCode.WriteOutcomeUnknown;
      const pauseMs = Math.max(this.nextPause(), outstanding ? 0 : retryAfterMs);
      const isFinal = code === ResultCode.PlatformUnavailable && !outstanding;
      if (isFinal || clock.now() + pauseMs > deadline) {
        return Result.err(outstanding ? toUnknown(round.failure) : round.failure);
      }
      await this.pause(pauseMs);
    }
  }

  private async runRound(change: Change): Promise<Round> {
    const read = await readSnapshot(this.options.platform);
    if (read.isErr) return { type: 'again', failure: read.error };
    const snapshot = read.value;
    this.options.onSnapshot(snapshot.records);
    const current = snapshot.records.find(({ tenant }) => tenant === change.tenant);
    if (current?.operationId === change.operationId)
      return endWith(expectSameChange(change, current));
    if (snapshot.unreadable.includes(currentKey(change.tenant))) {
      return endWith(
        Result.err(createFailure(ResultCode.Internal, 'current rules cannot be read')),
      );
    }
    const currentRevision = current?.revision ?? 0;
    if (currentRevision !== change.expectedRevision) {
      return (await this.findEarlierResult(change)) ?? reportConflict(change, currentRevision);
    }
    const violations = findClaimConflicts(change.rules, snapshot.records);
    if (violations.length > 0) {
      const detail = 'hosts or targets of another tenant';
      return endWith(Result.err(createFailure(ResultCode.RulesInvalid, detail, { violations })));
    }
    return this.write(change, snapshot, current);
  }

  private async write(
    change: Change,
    snapshot: RulesSnapshot,
    current: RevisionRecord | undefined,
  ): Promise<Round> {
    const { tenant, operationId, author, rules } = change;
    const revision = change.expectedRevision + 1;
    const acceptedAtMs = this.options.clock.wallNow();
    const next = { tenant, revision, operationId, author, acceptedAtMs, rules };
    const compares = [
      { key: HEAD_KEY, modRevision: snapshot.version },
      { key: operationKey(tenant, operationId), modRevision: 0 },
    ];
    const value = encodeRevision(next, current?.createdVersion);
    const puts: Put[] = [
      { key: currentKey(tenant), value },
      { key: historyKey(tenant, revision), value },
      { key: operationKey(tenant, operationId), value: String(revision) },
      { key: HEAD_KEY, value: `${tenant}/${revision}` },
    ];
    const written = await this.options.platform.transact(compares, puts);
    if (written.isErr) return { type: 'again', failure: written.error };
    if (!written.value.succeeded) {
      const earlier = await this.findEarlierResult(change);
      return earlier ?? { type: 'again', failure: createContentionFailure() };
    }
    const version = written.value.revision;
    const record = { ...next, version, createdVersion: current?.createdVersion ?? version };
    this.options.onSnapshot([...snapshot.records, record]);
    return endWith(Result.ok(record));
  }

  /** Result of the operation when it took effect before the tenant's newest revision. */
  private async findEarlierResult(change: Change): Promise<Round | undefined> {
    const { tenant, operationId } = change;
    const read = await this.options.platform.range(operationKey(tenant, operationId));
    if (read.isErr) return { type: 'again', failure: read.error };
    const found = read.value.values[0];
    if (found === undefined) return undefined;
    const first = await this.get(tenant, Number(found.value));
    if (first.isErr) return { type: 'again', failure: first.error };
    return endWith(expectSameChange(change, first.value));
  }

  private reject(
    { tenant, operationId }: ApplyRequest,
    failure: ApplyFailure,
  ): Result<RevisionRecord, ApplyFailure> {
    const { code, detail } = failure;
    this.options.log.emit(Event.RulesRejected, { tenant, operationId, code, detail });
    return Result.err(failure);
  }

  private nextPause(): number {
    return MIN_PAUSE_MS + this.random.next() * (MAX_PAUSE_MS - MIN_PAUSE_MS);
  }

  private pause(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.options.clock.schedule(durationMs, resolve);
    });
  }
}
