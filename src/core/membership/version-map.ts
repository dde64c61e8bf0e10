/**
 * Which members have the newest rules version in force, as one bit per member. A change of the
 * rules affects every member; one claim per member would cost a large fleet more than its whole
 * byte budget, while the bits of 1,000 members take 125 bytes and merge by a logical or.
 */
import { combineHashes, hash32 } from '../hash.js';
import type { MemberFacts } from '../member.js';
import type { MemberTable } from './member-table.js';
import { MAX_VERSION_BITS_BYTES, type VersionDigest } from './version-digest.js';

const NO_BITS = new Uint8Array(0);

/** The part of the protocol's state that a version map reads and changes. */
export interface VersionState {
  readonly self: MemberFacts;
  readonly table: Pick<MemberTable, 'find' | 'listLive'>;
  /** Counts changes of the list of members. */
  readonly viewChanges: number;
  /** Counts changes of what is known about rules versions. */
  readonly versionChanges: number;
  /** Highest rules version that this node knows of. */
  readonly highestVersion: number;
  raiseVersion(nodeId: string, configVersion: number): void;
}

/** Creates and applies digests. */
export class VersionMap {
  /** Sorted node ids of the list, this node's own included. */
  private order: string[] = [];
  private view = 0;
  private generation = -1;
  private versionChanges = -1;
  private digest: VersionDigest = { view: 0, version: 0, bits: NO_BITS };

  constructor(private readonly state: VersionState) {}

  /** This node's digest; undefined when the fleet is too large for one. */
  describe(): VersionDigest | undefined {
    this.refreshOrder();
    if (this.order.length > 8 * MAX_VERSION_BITS_BYTES) return undefined;
    if (this.versionChanges !== this.state.versionChanges) {
      this.versionChanges = this.state.versionChanges;
      this.digest = this.createDigest();
    }
    return this.digest;
  }

  /** Applies another node's digest; ignored when the lists differ. */
  apply({ view, version, bits }: VersionDigest): void {
    this.refreshOrder();
    if (view !== this.view || version < this.state.highestVersion) return;
    const own = this.describe();
    if (own?.version === version && isEqual(own.bits, bits)) return;
    for (const [index, nodeId] of this.order.entries()) {
      const isSet = bits.length === 0 || (bits[index >> 3]! & (1 << (index & 7))) !== 0;
      if (isSet) this.state.raiseVersion(nodeId, version);
    }
  }

  private createDigest(): VersionDigest {
    const { highestVersion, self, table } = this.state;
    const bits = new Uint8Array(Math.ceil(this.order.length / 8));
    let missing = 0;
    for (const [index, nodeId] of this.order.entries()) {
      const facts = nodeId === self.nodeId ? self : table.find(nodeId)!.facts;
      if (facts.configVersion >= highestVersion) bits[index >> 3]! |= 1 << (index & 7);
      else missing += 1;
    }
    return { view: this.view, version: highestVersion, bits: missing === 0 ? NO_BITS : bits };
  }

  private refreshOrder(): void {
    const { self, table, viewChanges } = this.state;
    const generation = viewChanges;
    if (generation === this.generation) return;
    this.generation = generation;
    this.versionChanges = -1;
    const list = [self, ...table.listLive().map(({ facts }) => facts)];
    list.sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1));
    this.order = list.map(({ nodeId }) => nodeId);
    this.view = 0;
    for (const { nodeId, incarnation } of list) {
      const member = combineHashes(hash32(nodeId), (incarnation % 2 ** 32) | 0);
      this.view = combineHashes(this.view, member);
    }
  }
}

function isEqual(a: Uint8Array, b: Uint8Array): boolean {
  return a.length === b.length && a.every((byte, index) => byte === b[index]);
}
