/** Bytes of message bodies that a node buffers at once. */

/** A bound that is shared by all requests of a node. */
export class ByteBudget {
  private taken = 0;

  /** @param limit bytes */
  constructor(readonly limit: number) {}

  /** Bytes taken now. */
  get used(): number {
    return this.taken;
  }

  /** Takes bytes unless that would pass the limit; undefined when it would. */
  tryReserve(bytes: number): BufferReservation | undefined {
    if (!this.tryTake(bytes)) return undefined;
    return new BufferReservation(this, bytes);
  }

  /** Takes bytes that are in memory already, even past the limit. */
  reserve(bytes: number): BufferReservation {
    this.taken += bytes;
    return new BufferReservation(this, bytes);
  }

  /** Used by {@link BufferReservation}. */
  tryTake(bytes: number): boolean {
    if (this.taken + bytes > this.limit) return false;
    this.taken += bytes;
    return true;
  }

  /** Used by {@link BufferReservation}. */
  giveBack(bytes: number): void {
    this.taken -= bytes;
  }
}

/** Bytes taken by one request. */
export class BufferReservation {
  constructor(
    private readonly budget: ByteBudget,
    private bytes: number,
  ) {}

  /** Makes sure that `total` bytes are taken; false when the budget does not allow it. */
  cover(total: number): boolean {
    const more = total - this.bytes;
    if (more <= 0) return true;
    if (!this.budget.tryTake(more)) return false;
    this.bytes = total;
    return true;
  }

  /** Gives everything back; harmless when called again. */
  release(): void {
    this.budget.giveBack(this.bytes);
    this.bytes = 0;
  }
}
