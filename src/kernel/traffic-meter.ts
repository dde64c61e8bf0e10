/** Counts the bytes that a node exchanges with other nodes, headers of TCP, UDP and IP not included. */

/** Transport of a count. */
export type Transport = 'tcp' | 'udp';
/** Direction of a count, seen from this node. */
export type Direction = 'sent' | 'received';

/** Byte counts of one node. Plain numbers, because every frame passes here. */
export class TrafficMeter {
  private readonly bytes: Record<Transport, Record<Direction, number>> = {
    tcp: { sent: 0, received: 0 },
    udp: { sent: 0, received: 0 },
  };

  /** Adds one write or read. */
  count(transport: Transport, direction: Direction, bytes: number): void {
    this.bytes[transport][direction] += bytes;
  }

  /** Bytes so far. */
  read(transport: Transport, direction: Direction): number {
    return this.bytes[transport][direction];
  }

  /** Bytes so far over both transports and directions. */
  get total(): number {
    const { tcp, udp } = this.bytes;
    return tcp.sent + tcp.received + udp.sent + udp.received;
  }
}
