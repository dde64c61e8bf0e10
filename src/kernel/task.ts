/**
 * A unit of concurrency with a bounded mailbox. Tasks own their sockets and state and communicate
 * by messages. A task handles one message at a time; when it is idle, a posted message is handled
 * before `post` returns, so that a message between tasks costs no more than a call.
 */
export abstract class Task<Message> {
  private readonly mailbox: Message[] = [];
  private draining = false;
  private stopped = false;

  /**
   * @param name for logs and metrics
   * @param capacity messages that may wait; a full mailbox refuses further ones
   */
  constructor(
    readonly name: string,
    private readonly capacity: number,
  ) {}

  /** Number of waiting messages. */
  get backlog(): number {
    return this.mailbox.length;
  }

  /**
   * Posts a message.
   *
   * @returns false when the mailbox is full or the task has stopped; the caller then
   * fails its request with `ResultCode.MailboxFull`
   */
  post(message: Message): boolean {
    if (this.stopped || this.mailbox.length >= this.capacity) return false;
    this.mailbox.push(message);
    if (!this.draining) this.drainMailbox();
    return true;
  }

  /** Stops the task: drops waiting messages and refuses later ones. */
  close(): void {
    this.stopped = true;
    this.mailbox.length = 0;
  }

  /** Handles one message completely; must not throw for invalid input. */
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
