/** The rules versions of all members as one bit field, as datagrams carry it. */

/** What a datagram reports about rules versions. */
export interface VersionDigest {
  /** Hash of the sender's list of members; the bits apply only to an equal list. */
  readonly view: number;
  /** Highest version that the sender knows of. */
  readonly version: number;
  /** Bit i: whether member i of the list, by node id, has it in force. Empty: all have. */
  readonly bits: Uint8Array;
}

/** Largest bit field that is sent, in bytes; a larger fleet relies on state exchanges. */
export const MAX_VERSION_BITS_BYTES = 160;
