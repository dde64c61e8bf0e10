/**
 * Request bodies that have not arrived whole. They share a budget of bytes: when it is spent, the
 * largest unfinished body yields to a smaller one, so that clients that begin large bodies and
 * never end them don't keep ordinary requests out.
 */
import type { BufferReservation, ByteBudget } from '../byte-budget.js';
import { chooseLargest } from './connection-choice.js';

/** Why a body is no longer read. */
export type BodyEnd = 'yielded' | 'late';

/** One body that is being read. */
export class UnfinishedBody {
  /** Bytes that the body holds. */
  heldBytes = 0;

  constructor(
    private readonly bodies: UnfinishedBodies,
    readonly reservation: BufferReservation,
    /** Monotonic time by which the whole body must have arrived, in milliseconds. */
    readonly dueAt: number,
    /** Called once if the body ends before it is whole; it must release its reservation. */
    readonly onEnd: (end: BodyEnd) => void,
  ) {}

  /** Extends the reservation; returns false when no larger body can yield. */
  cover(totalBytes: number): boolean {
    return this.bodies.cover(this, totalBytes);
  }

  /** The body is whole or given up; it no longer yields. */
  finish(): void {
    this.bodies.remove(this);
  }
}

/** All unfinished bodies of a node. */
export class UnfinishedBodies {
  private readonly bodies = new Set<UnfinishedBody>();

  constructor(private readonly budget: ByteBudget) {}

  /** Number of unfinished bodies. */
  get count(): number {
    return this.bodies.size;
  }

  reserve(): BufferReservation {
    return this.budget.reserve(0);
  }

  /** Reserves bytes of a body that is whole; returns undefined when no larger body can yield. */
  tryReserve(bytes: number): BufferReservation | undefined {
    const reservation = this.reserve();
    return this.coverBytes(reservation, bytes) ? reservation : undefined;
  }

  /** Begins a body; see {@link UnfinishedBody}. */
  open(
    reservation: BufferReservation,
    dueAt: number,
    onEnd: (end: BodyEnd) => void,
  ): UnfinishedBody {
    const body = new UnfinishedBody(this, reservation, dueAt, onEnd);
    this.bodies.add(body);
    return body;
  }

  /** Ends all bodies that are overdue. */
  expire(now: number): void {
    for (const body of [...this.bodies]) if (now >= body.dueAt) this.end(body, 'late');
  }

  /** Used by {@link UnfinishedBody}. */
  cover(body: UnfinishedBody, totalBytes: number): boolean {
    if (!this.coverBytes(body.reservation, totalBytes)) return false;
    body.heldBytes = totalBytes;
    return true;
  }

  /** Used by {@link UnfinishedBody}. */
  remove(body: UnfinishedBody): void {
    this.bodies.delete(body);
  }

  private coverBytes(reservation: BufferReservation, totalBytes: number): boolean {
    while (!reservation.cover(totalBytes)) {
      const largest = this.findLargerThan(totalBytes);
      if (largest === undefined) return false;
      this.end(largest, 'yielded');
    }
    return true;
  }

  private end(body: UnfinishedBody, end: BodyEnd): void {
    this.bodies.delete(body);
    body.onEnd(end);
  }

  private findLargerThan(bytes: number): UnfinishedBody | undefined {
    const largest = chooseLargest(this.bodies, ({ heldBytes }) => heldBytes);
    return largest !== undefined && largest.heldBytes > bytes ? largest : undefined;
  }
}
