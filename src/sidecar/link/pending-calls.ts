/** Calls of one link that have not ended. */
import { ResultCode } from '../../core/result-code.js';
import { createAttemptFailure, createNotOfferedFailure } from './attempt-port.js';
import type { AttemptCall, AttemptEnd } from './link-messages.js';
import type { OutgoingConnection } from './outgoing-connection.js';

/** A call that has not ended. */
export interface PendingCall {
  readonly call: AttemptCall;
  readonly onEnd: (end: AttemptEnd) => void;
  /** Connection to which the call was written; undefined: it was not written yet. */
  connection: OutgoingConnection | undefined;
  readonly createdAt: number;
  /** Boot time of the dispatch; undefined when the call needs no API key. */
  readonly requestedAt: number | undefined;
}

/** Result code of calls that were written and whose answers are lost. */
type LostCode = ResultCode.PeerLost | ResultCode.PeerTimeout;

/** Calls by their number on the link. */
export class PendingCalls {
  private readonly calls = new Map<number, PendingCall>();
  /** Calls that are held until the next message of the other node. */
  private readonly held = new Set<number>();

  get isEmpty(): boolean {
    return this.calls.size === 0;
  }

  /** When the oldest call was dispatched; undefined: there is none. */
  get oldestAt(): number | undefined {
    const [oldest] = this.calls.values();
    return oldest?.createdAt;
  }

  add(id: number, call: PendingCall): void {
    this.calls.set(id, call);
  }

  get(id: number): PendingCall | undefined {
    return this.calls.get(id);
  }

  /** Removes a call and returns it. */
  take(id: number): PendingCall | undefined {
    const call = this.calls.get(id);
    this.calls.delete(id);
    this.held.delete(id);
    return call;
  }

  hold(id: number): void {
    this.held.add(id);
  }

  /** Holds all calls that were not written yet. */
  holdUnwritten(): void {
    for (const [id, { connection }] of this.calls) if (connection === undefined) this.held.add(id);
  }

  /** Returns the held calls, which are no longer held. */
  takeHeld(): readonly (readonly [id: number, call: PendingCall])[] {
    const ids = [...this.held];
    this.held.clear();
    return ids.map((id) => [id, this.calls.get(id)!] as const);
  }

  /** Whether a call was written to this connection. */
  hasCallsOn(connection: OutgoingConnection): boolean {
    for (const call of this.calls.values()) if (call.connection === connection) return true;
    return false;
  }

  /** Identities of the calls for which this holds. */
  select(isSelected: (call: PendingCall) => boolean): readonly number[] {
    return [...this.calls].flatMap(([id, call]) => (isSelected(call) ? [id] : []));
  }

  /** Ends a call: one that was written may have run, another one has not. */
  fail(id: number, code: LostCode, detail: string): void {
    const call = this.take(id);
    call?.onEnd(
      call.connection === undefined
        ? createNotOfferedFailure('unreachable', ResultCode.PeerUnreachable, detail)
        : createAttemptFailure({
            ...{ outcome: 'failed', execution: 'unknown', offered: true },
            ...{ code, detail },
          }),
    );
  }
}
