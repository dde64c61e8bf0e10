/** Probes one member at a time, directly and through others, and relays probes of others. */
import type { MemberEntry } from './member-table.js';
import type { AckMessage, NackMessage, PingRequestMessage } from './membership-message.js';
import { ProbeOrder, sample } from './probe-order.js';
import type { ProtocolState } from './protocol-state.js';

/** Maximum number of probes relayed for others at once. */
const MAX_RELAYS = 256;

interface Probe {
  readonly number: number;
  readonly nodeId: string;
  /** The probed incarnation; a process that has restarted since is not expected to answer. */
  readonly incarnation: number;
  readonly indirectAt: number;
  indirectSent: number;
  nacks: number;
}

interface Relay {
  readonly origin: string;
  readonly originProbe: number;
  readonly nodeId: string;
  readonly nackAt: number;
}

/** SWIM's failure detector with Lifeguard's local health. */
export class Prober {
  private readonly order: ProbeOrder;
  private readonly relays = new Map<number, Relay>();
  private current: Probe | undefined;
  private nextProbeAt = Infinity;
  private lastNumber = 0;

  constructor(
    private readonly state: ProtocolState,
    private readonly onUnanswered: (now: number, entry: MemberEntry) => void,
  ) {
    this.order = new ProbeOrder(state.random);
  }

  /** Starts probing at a random point of the first interval. */
  start(now: number): void {
    this.nextProbeAt = now + this.state.random.next() * this.state.options.probeIntervalMs;
  }

  /** Adds a member that is new or has returned. */
  add(nodeId: string): void {
    this.order.add(nodeId);
  }

  /** Time of the next needed {@link onTimer}. */
  nextTimer(): number {
    let next = this.nextProbeAt;
    if (this.current?.indirectSent === 0) next = Math.min(next, this.current.indirectAt);
    for (const { nackAt } of this.relays.values()) next = Math.min(next, nackAt);
    return next;
  }

  onTimer(now: number): void {
    this.expireRelays(now);
    if (now >= this.nextProbeAt) {
      this.finishProbe(now);
      this.startProbe(now);
    } else if (this.current?.indirectSent === 0 && now >= this.current.indirectAt) {
      this.requestIndirectProbes(this.current);
    }
  }

  /** Drops the probe in flight: its answer could not be received while the process was paused. */
  skipProbe(now: number): void {
    this.current = undefined;
    this.relays.clear();
    this.nextProbeAt = now + this.state.options.probeIntervalMs;
  }

  /** A number for a ping whose answer needs no matching. */
  nextNumber(): number {
    this.lastNumber += 1;
    return this.lastNumber;
  }

  onAck({ probe, subject }: AckMessage): void {
    if (this.current?.number === probe && this.current.nodeId === subject) {
      this.current = undefined;
      this.state.localHealth = Math.max(0, this.state.localHealth - 1);
      return;
    }
    const relay = this.relays.get(probe);
    if (relay?.nodeId !== subject) return;
    this.relays.delete(probe);
    const { origin, originProbe } = relay;
    this.state.send(origin, { type: 'ack', probe: originProbe, subject, factsWanted: false });
  }

  onNack({ probe }: NackMessage): void {
    if (this.current?.number === probe) this.current.nacks += 1;
  }

  /** Pings a node on behalf of another one. */
  onPingRequest(now: number, origin: string, message: PingRequestMessage): void {
    if (this.relays.size >= MAX_RELAYS) return;
    const number = this.nextNumber();
    const nackAt = now + this.state.options.probeTimeoutMs;
    const { subject, address } = message;
    this.relays.set(number, { origin, originProbe: message.probe, nodeId: subject, nackAt });
    this.state.send(address, { type: 'ping', probe: number, to: subject });
  }

  private startProbe(now: number): void {
    const { state } = this;
    const { probeIntervalMs, probeTimeoutMs } = state.options;
    const scale = 1 + state.localHealth;
    this.nextProbeAt = now + probeIntervalMs * scale;
    const nodeId = this.order.next(
      () => state.table.listLive().map((entry) => entry.facts.nodeId),
      (candidate) => state.isReachable(candidate),
    );
    const entry = nodeId === undefined ? undefined : state.table.find(nodeId);
    if (nodeId === undefined || entry === undefined) return;
    const number = this.nextNumber();
    const indirectAt = now + probeTimeoutMs * scale;
    const { incarnation } = entry.facts;
    this.current = { number, nodeId, incarnation, indirectAt, indirectSent: 0, nacks: 0 };
    // Puts the claim against a suspected member first, so that it can refute it (Lifeguard's buddy
    // system).
    const claim = state.describeClaim(nodeId, incarnation);
    const first = claim === undefined ? [] : [claim];
    state.send(entry.facts.peerAddress, { type: 'ping', probe: number, to: nodeId }, first);
  }

  private requestIndirectProbes(probe: Probe): void {
    const { state } = this;
    const subject = state.table.find(probe.nodeId);
    if (subject === undefined) return;
    const candidates = state.table
      .listLive()
      .filter((entry) => entry !== subject && entry.suspicion === undefined);
    const helpers = sample(candidates, state.options.indirectProbes, state.random);
    probe.indirectSent = helpers.length > 0 ? helpers.length : -1;
    const address = subject.facts.peerAddress;
    for (const helper of helpers) {
      const content = { probe: probe.number, subject: probe.nodeId, address };
      state.send(helper.facts.peerAddress, { type: 'ping-request', ...content });
    }
  }

  private finishProbe(now: number): void {
    const probe = this.current;
    this.current = undefined;
    if (probe === undefined || !this.state.isReachable(probe.nodeId)) return;
    const entry = this.state.table.find(probe.nodeId);
    if (entry?.facts.incarnation !== probe.incarnation) return;
    // When no helper replied either, the fault may well be on this node's side.
    if (probe.indirectSent > 0 && probe.nacks === 0) {
      const { maxLocalHealth } = this.state.options;
      this.state.localHealth = Math.min(maxLocalHealth, this.state.localHealth + 1);
    }
    this.onUnanswered(now, entry);
  }

  private expireRelays(now: number): void {
    for (const [number, { nackAt, origin, originProbe }] of this.relays) {
      if (now < nackAt) continue;
      this.relays.delete(number);
      this.state.send(origin, { type: 'nack', probe: originProbe });
    }
  }
}
