/** Bodies of callers' requests that are being read, and the timer that ends overdue ones. */
import type { BufferReservation } from '../../core/byte-budget.js';
import type {
  BodyEnd,
  UnfinishedBodies,
  UnfinishedBody,
} from '../../core/holding/unfinished-bodies.js';
import type { Clock } from '../../kernel/clock.js';

/** Interval of the checks for overdue bodies, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Limits on one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Monotonic time by which the whole body must have arrived, in milliseconds. */
  readonly dueAt: number;
  readonly reservation: BufferReservation;
}

/** Reads bodies within a shared budget of bytes; bodies that are late end. */
export class BodyIntake {
  private checking = false;

  constructor(
    private readonly bodies: UnfinishedBodies,
    private readonly clock: Clock,
    /** Called for each body that ends before it is whole. */
    private readonly onEnded: (end: BodyEnd) => void,
  ) {}

  /** A reservation for a request's bytes; empty at first. */
  reserve(): BufferReservation {
    return this.bodies.reserve();
  }

  /** Begins a body; `onEnd` is called when it yields its buffers or is late. */
  open({ reservation, dueAt }: BodyLimits, onEnd: (end: BodyEnd) => void): UnfinishedBody {
    this.scheduleCheck();
    return this.bodies.open(reservation, dueAt, (end) => {
      this.onEnded(end);
      onEnd(end);
    });
  }

  /** One timer serves all bodies, since most are whole within the same turn. */
  private scheduleCheck(): void {
    if (this.checking) return;
    this.checking = true;
    this.clock.schedule(CHECK_INTERVAL_MS, () => {
      this.checking = false;
      this.bodies.expire(this.clock.now());
      if (this.bodies.count > 0) this.scheduleCheck();
    });
  }
}
