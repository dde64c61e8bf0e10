/** Limits the bytes of message bodies that a node buffers at once. */

/** A bound that is shared by all requests of a node. */
export class ByteBudget {
  private taken = 0;

  /** @param limit bytes */
  constructor(readonly limit: number) {}

  /** Bytes reserved now. */
  get used(): number {
    return this.taken;
  }

  /** Reserves bytes; returns undefined when that would exceed the limit. */
  tryReserve(bytes: number): BufferReservation | undefined {
    if (!this.tryTake(bytes)) return undefined;
    return new BufferReservation(this, bytes);
  }

  /** Reserves bytes that are already in memory, even beyond the limit. */
  reserve(bytes: number): BufferReservation {
    this.take(bytes);
    return new BufferReservation(this, bytes);
  }

  /** Used by {@link BufferReservation}. */
  take(bytes: number): void {
    this.taken += bytes;
  }

  /** Used by {@link BufferReservation}. */
  tryTake(bytes: number): boolean {
    if (this.taken + bytes > this.limit) return false;
    this.taken += bytes;
    return true;
  }

  /** Used by {@link BufferReservation}. */
  release(bytes: number): void {
    this.taken -= bytes;
  }
}

/** Bytes reserved by one request. */
export class BufferReservation {
  constructor(
    private readonly budget: ByteBudget,
    private bytes: number,
  ) {}

  /** Extends the reservation to `total` bytes; returns false when the budget does not allow it. */
  cover(total: number): boolean {
    const more = total - this.bytes;
    if (more <= 0) return true;
    if (!this.budget.tryTake(more)) return false;
    this.bytes = total;
    return true;
  }

  /** Extends the reservation to `total` bytes that are already in memory, even beyond the limit. */
  extend(total: number): void {
    const more = Math.max(0, total - this.bytes);
    this.budget.take(more);
    this.bytes += more;
  }

  /** Releases all bytes; further calls have no effect. */
  release(): void {
    this.budget.release(this.bytes);
    this.bytes = 0;
  }
}
