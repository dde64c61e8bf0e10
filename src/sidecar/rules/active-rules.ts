/**
 * The routing rules in force. They come from the store and, while it is unavailable, from other nodes. The
 * version never decreases while the process runs.
 */
import type { Result } from 'true-myth';
import type { Failure } from '../../core/failure.js';
import { Event, type EventLog } from '../../kernel/event.js';
import { RouteTable } from './route-table.js';
import { checkRules, type RoutingRules } from './routing-rules.js';

export interface ActiveRulesOptions {
  readonly log: EventLog;
  parse(document: Buffer): Result<RoutingRules, Failure>;
  /** Milliseconds since the rules in force were last confirmed; infinite: never. */
  unconfirmedMs?(): number;
  /** Called after rules have come into force. */
  onChanged(rules: RoutingRules): void;
}

/** Holds the newest valid rules that this node has received. */
export class ActiveRules {
  private current: RouteTable | undefined;
  private currentDocument: Buffer | undefined;

  constructor(private readonly options: ActiveRulesOptions) {}

  /** Routes in force; undefined until rules are received. */
  get table(): RouteTable | undefined {
    return this.current;
  }

  /** Version in force; 0 until rules are received. */
  get version(): number {
    return this.current?.rules.version ?? 0;
  }

  /** The document in force, as it was received. */
  get document(): Buffer | undefined {
    return this.currentDocument;
  }

  /**
   * Puts a document into force if it is valid and newer than the one in force.
   *
   * @param source origin of the document, for the log
   * @returns the version of the document; undefined when it is invalid
   */
  offer(document: Buffer, source: string): number | undefined {
    const rules = this.options.parse(document).andThen(checkRules);
    if (rules.isErr) {
      const { code, detail } = rules.error;
      this.options.log.emit(Event.RulesRejected, { source, code, detail, kept: this.version });
      return undefined;
    }
    const { version } = rules.value;
    if (version <= this.version) {
      this.options.log.emit(Event.OlderRevisionIgnored, { source, version, kept: this.version });
      return version;
    }
    const unconfirmedMs = this.options.unconfirmedMs?.() ?? Infinity;
    // The bytes may be a view into a larger buffer.
    this.currentDocument = Buffer.from(document);
    this.current = new RouteTable(rules.value);
    this.options.log.emit(Event.RulesInForce, {
      source,
      version,
      ...(Number.isFinite(unconfirmedMs) && { unconfirmedMs: Math.round(unconfirmedMs) }),
    });
    this.options.onChanged(rules.value);
    return version;
  }
}
