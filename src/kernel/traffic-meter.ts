/** Counts the bytes that a node exchanges with other nodes, without TCP, UDP and IP headers. */

export type Transport = 'tcp' | 'udp';
/** Direction as seen from this node. */
export type Direction = 'sent' | 'received';

/** Byte counts of one node; plain numbers, because every frame is counted here. */
export class TrafficMeter {
  private readonly bytes: Record<Transport, Record<Direction, number>> = {
    tcp: { sent: 0, received: 0 },
    udp: { sent: 0, received: 0 },
  };

  /** Counts the bytes of one write or read. */
  count(transport: Transport, direction: Direction, bytes: number): void {
    this.bytes[transport][direction] += bytes;
  }

  read(transport: Transport, direction: Direction): number {
    return this.bytes[transport][direction];
  }

  /** Bytes of both transports and directions. */
  get total(): number {
    const { tcp, udp } = this.bytes;
    return tcp.sent + tcp.received + udp.sent + udp.received;
  }
}
