/**
 * Tasks own their sockets and their state and talk by messages. A task handles one
 * message at a time from a mailbox with a bound; a message posted from outside is
 * handled at once when the task is idle, so that a hop between tasks costs a call.
 */

/** A unit of concurrency with a bounded mailbox. */
export abstract class Task<Message> {
  private readonly mailbox: Message[] = [];
  private draining = false;
  private stopped = false;

  /**
   * @param name for logs and metrics
   * @param capacity messages that may wait; a full mailbox refuses
   */
  constructor(
    readonly name: string,
    private readonly capacity: number,
  ) {}

  /** Messages that wait now. */
  get backlog(): number {
    return this.mailbox.length;
  }

  /**
   * Posts a message.
   *
   * @returns false when the mailbox is full or the task has stopped; the caller then
   * answers with `ResultCode.MailboxFull`
   */
  post(message: Message): boolean {
    if (this.stopped || this.mailbox.length >= this.capacity) return false;
    this.mailbox.push(message);
    if (!this.draining) this.drainMailbox();
    return true;
  }

  /** Stops the task: waiting messages are dropped, later ones refused. */
  close(): void {
    this.stopped = true;
    this.mailbox.length = 0;
  }

  /** Handles one message to its end; must not throw for bad input. */
  protected abstract handle(message: Message): void;

  private drainMailbox(): void {
    this.draining = true;
    try {
      for (let next = this.mailbox.shift(); next !== undefined; next = this.mailbox.shift()) {
        this.handle(next);
      }
    } finally {
      this.draining = false;
    }
  }
}
