/** Requests dispatched to one target and not yet ended. */

/** One dispatched request. */
export interface DispatchedRequest {
  readonly startedAt: number;
  readonly kind: string;
}

/** Dispatched requests by ticket, counted by kind. */
export class InFlight {
  private readonly byTicket = new Map<number, DispatchedRequest>();
  private readonly countByKind = new Map<string, number>();

  get size(): number {
    return this.byTicket.size;
  }

  start(now: number, ticket: number, kind: string): void {
    this.byTicket.set(ticket, { startedAt: now, kind });
    this.countByKind.set(kind, (this.countByKind.get(kind) ?? 0) + 1);
  }

  /** Ends a request; `undefined` when it is not in flight. */
  end(ticket: number): DispatchedRequest | undefined {
    const ended = this.byTicket.get(ticket);
    if (ended === undefined) return undefined;
    this.byTicket.delete(ticket);
    this.countByKind.set(ended.kind, this.countByKind.get(ended.kind)! - 1);
    return ended;
  }

  /** Whether a request of the kind is in flight. */
  hasKind(kind: string): boolean {
    return (this.countByKind.get(kind) ?? 0) > 0;
  }
}
