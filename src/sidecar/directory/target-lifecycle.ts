/**
 * Tracks the state of the local target. Handles the target's reports and probes its identity where a report
 * alone is not enough. Acknowledges that the target leaves only after the store holds this, so that a later
 * process of this node knows it too.
 */
import type { Clock } from '../../kernel/clock.js';
import { pause } from '../../kernel/pause.js';
import { Event, type EventLog } from '../../kernel/event.js';
import type { RegistrationMessage, UnreadableReport } from '../platform-adapter.js';
import type { StoreItem } from '../../store/metadata-store.js';
import type { NodeRecord } from './node-record.js';
import type { RecordPublisher } from './record-publisher.js';
import {
  isSameIncarnation,
  parseIncarnation,
  type Incarnation,
  type RegisteredTarget,
  type TargetRegistration,
  type Verdict,
} from './target-registration.js';

const OK = 200;
const BAD_REQUEST = 400;
const CONFLICT = 409;
const UNAVAILABLE = 503;

/**
 * Longest wait for the store before the report of a leaving target is answered with 503, in milliseconds.
 * Senders wait 1 s.
 */
const ACKNOWLEDGE_TIMEOUT_MS = 900;
const PROBE_TIMEOUT_MS = 500;
/** Pause between probes of a target that a restarted node knows from its record. */
const PROBE_PAUSE_MS = 50;
/** Time limit of these probes, in milliseconds; after it the target has sent its own reports. */
const RESTORE_TIMEOUT_MS = 1_500;

export interface TargetLifecycleOptions {
  readonly registration: TargetRegistration;
  readonly publisher: RecordPublisher;
  readonly clock: Clock;
  readonly log: EventLog;
  /**
   * Reads the record that an earlier process of this node left. It comes from the listing of all records,
   * which is read anyway; this saves one call for each start.
   */
  readPrevious(): Promise<StoreItem | undefined>;
  /** Returns this node's current record. */
  record(): NodeRecord;
  /** Requests the identity from the target itself; undefined without a valid answer. */
  probe(timeoutMs: number): Promise<string | undefined>;
  /** Resolves when peers have had time to report what they know of this node. */
  waitForPeerReports(): Promise<void>;
  /** Called when the known target or its state has changed. */
  onChanged(target: RegisteredTarget | undefined): void;
}

/** Tracks the registration of the local target and publishes each change. */
export class TargetLifecycle {
  private known: RegisteredTarget | undefined;
  /** Whether the record that an earlier process left has been read. */
  private restored = false;
  private publishing: Promise<void> = Promise.resolve();

  constructor(private readonly options: TargetLifecycleOptions) {}

  /** Restores the state from the record of an earlier process; reports take effect only after it was read. */
  async restore(): Promise<void> {
    const { publisher, registration } = this.options;
    const previous = publisher.takePrevious(await this.options.readPrevious());
    if (previous?.target === 'leaving') registration.restoreLeft(targetOf(previous));
    this.restored = true;
    this.publishIfChanged();
    if (previous?.target === 'ready') await this.restoreReady(previous);
  }

  /**
   * Restores a target that kept running while only its node restarted. Without this it would get no requests
   * until its next report, which takes longer than the start of the node.
   */
  private async restoreReady(previous: NodeRecord): Promise<void> {
    const { registration, clock, publisher, waitForPeerReports } = this.options;
    if (previous.targetSlots === undefined) return;
    // The store may have lost the leaving state acknowledged after this record; peers still know it.
    if (publisher.isFromOtherEra(previous)) await waitForPeerReports();
    const found = await this.probeUntilAnswered();
    if (found !== previous.targetId || registration.current !== undefined) return;
    registration.restoreReady(clock.now(), targetOf(previous), previous.targetSlots);
    this.publishIfChanged();
  }

  /** Probes until the target answers: its health path is known only once rules are in force. */
  private async probeUntilAnswered(): Promise<string | undefined> {
    const { probe, registration, clock } = this.options;
    const end = clock.now() + RESTORE_TIMEOUT_MS;
    while (registration.current === undefined && clock.now() < end) {
      const found = await probe(PROBE_TIMEOUT_MS);
      if (found !== undefined) return found;
      await pause(clock, PROBE_PAUSE_MS);
    }
    return undefined;
  }

  /** Handles one report; resolves with the HTTP status of the answer. */
  async onReport(message: RegistrationMessage | UnreadableReport): Promise<number> {
    if (message.type === 'unreadable') {
      const { type: verdict, reason } = message;
      this.options.log.emit(Event.TargetReportRejected, { verdict, reason });
      return BAD_REQUEST;
    }
    const verdict = await this.judge(message);
    if (verdict === 'foreign' || verdict === 'unconfirmed') {
      this.options.log.emit(Event.TargetReportRejected, { target: message.targetId, verdict });
      return CONFLICT;
    }
    this.publishIfChanged();
    const leaves = message.type === 'departure' || message.state === 'draining';
    if (!leaves || verdict === 'outdated') return OK;
    return (await this.isStored()) ? OK : UNAVAILABLE;
  }

  /** Called when the target answered with another identity than the registered one. */
  onIdentityMismatch(targetId: string): void {
    this.options.registration.discard(targetId);
    this.publishIfChanged();
  }

  /** Called when this incarnation of the target leaves, as it stated in an answer or as a peer reports. */
  onTargetLeft(incarnation: string): void {
    this.options.registration.restoreLeft(parseIncarnation(incarnation));
    this.publishIfChanged();
  }

  private async judge(message: RegistrationMessage): Promise<Verdict> {
    const { registration, clock, probe } = this.options;
    if (message.type === 'departure') return registration.onDeparture(message);
    // Reports may be late or come from other senders: while no target is known, the target itself is probed.
    const isFirst = registration.current === undefined;
    if (!isFirst) {
      const verdict = registration.onHeartbeat(clock.now(), message, false);
      if (verdict !== 'unconfirmed') return verdict;
    }
    const found = await probe(PROBE_TIMEOUT_MS);
    if (found !== undefined && found !== message.targetId) return 'unconfirmed';
    const confirmed = found === message.targetId;
    return registration.onHeartbeat(clock.now(), message, confirmed);
  }

  private publishIfChanged(): void {
    const { registration, log, publisher, onChanged, record } = this.options;
    const { current } = registration;
    const same = isSameTarget(current, this.known);
    if (!this.restored || same) return;
    this.known = current;
    log.emit(Event.TargetReported, { target: current?.id, state: current?.state ?? 'unknown' });
    onChanged(current);
    this.publishing = publisher.publish(record());
  }

  private isStored(): Promise<boolean> {
    return new Promise((resolve) => {
      const cancel = this.options.clock.schedule(ACKNOWLEDGE_TIMEOUT_MS, () => {
        resolve(false);
      });
      void this.publishing.then(() => {
        cancel();
        resolve(this.restored);
      });
    });
  }
}

function targetOf({ targetId: id, targetStartedAt: startedAt }: NodeRecord): Incarnation {
  return startedAt === undefined ? { id } : { id, startedAt };
}

/** Whether two targets are equal in all that other nodes are told. */
function isSameTarget(
  one: RegisteredTarget | undefined,
  other: RegisteredTarget | undefined,
): boolean {
  if (one === undefined || other === undefined) return one === other;
  return isSameIncarnation(one, other) && one.state === other.state;
}
