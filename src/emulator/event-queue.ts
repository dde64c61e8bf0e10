/**
 * Event queue of virtual time, a heap. Events of equal time run in the order in which they were
 * scheduled, so that a run depends on nothing but its seed.
 *
 * The heap is deep, since it holds many timers that are mostly cancelled. Four children per node
 * make it flatter, and times in a separate array are compared without following pointers.
 */

/** A scheduled event; set `cancelled` to make it do nothing. */
export interface ScheduledEvent {
  /** Virtual time in milliseconds. */
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

const CHILDREN = 4;

/** Runs events in virtual time. */
export class EventQueue {
  private readonly times: number[] = [];
  private readonly events: ScheduledEvent[] = [];
  private created = 0;
  private current = 0;
  private executed = 0;

  /** Virtual time of the running event, in milliseconds. */
  now(): number {
    return this.current;
  }

  /** Events that have run so far. */
  get executedEvents(): number {
    return this.executed;
  }

  /** Schedules `run` after `delayMs`; a negative delay counts as 0. */
  schedule(delayMs: number, run: () => void): ScheduledEvent {
    const at = delayMs > 0 ? this.current + delayMs : this.current;
    this.created += 1;
    const event: ScheduledEvent = { at, order: this.created, run, cancelled: false };
    this.siftUp(this.events.length, event);
    return event;
  }

  /** Schedules `run` at an absolute time; times in the past count as now. */
  scheduleAt(at: number, run: () => void): ScheduledEvent {
    return this.schedule(at - this.current, run);
  }

  /** Runs events in order until none is left or the next one is later than `endMs`. */
  runUntil(endMs: number): void {
    while (this.events.length > 0 && this.times[0]! <= endMs) {
      const event = this.takeFirst();
      if (event.cancelled) continue;
      this.current = event.at;
      this.executed += 1;
      event.run();
    }
    this.current = endMs;
  }

  private takeFirst(): ScheduledEvent {
    const first = this.events[0]!;
    const last = this.events.pop()!;
    this.times.pop();
    if (this.events.length > 0) this.siftDown(last);
    return first;
  }

  /** Moves the hole at `start` up to the place of `event`. */
  private siftUp(start: number, event: ScheduledEvent): void {
    const { times, events } = this;
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / CHILDREN);
      if (!this.isBefore(event, parent)) break;
      times[index] = times[parent]!;
      events[index] = events[parent]!;
      index = parent;
    }
    times[index] = event.at;
    events[index] = event;
  }

  /** Moves the hole at the root down to the place of `event`. */
  private siftDown(event: ScheduledEvent): void {
    const { times, events } = this;
    const size = events.length;
    let index = 0;
    for (let first = 1; first < size; first = CHILDREN * index + 1) {
      const child = this.earliestChild(first, Math.min(first + CHILDREN, size));
      if (this.isBefore(event, child)) break;
      times[index] = times[child]!;
      events[index] = events[child]!;
      index = child;
    }
    times[index] = event.at;
    events[index] = event;
  }

  private earliestChild(from: number, to: number): number {
    const { times, events } = this;
    let earliest = from;
    for (let child = from + 1; child < to; child += 1) {
      const difference = times[child]! - times[earliest]!;
      const sooner =
        difference < 0 || (difference === 0 && events[child]!.order < events[earliest]!.order);
      if (sooner) earliest = child;
    }
    return earliest;
  }

  private isBefore(event: ScheduledEvent, index: number): boolean {
    const time = this.times[index]!;
    return event.at < time || (event.at === time && event.order < this.events[index]!.order);
  }
}
