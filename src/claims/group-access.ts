/** Interface of a replica group for coordinators and delivery. */
import type { PlacementRecord } from '../core/claim/placement.js';
import type { ReplicaClient } from './replica-client.js';

/** Access to the replicas and the placement of one group. */
export interface GroupAccess {
  readonly client: Pick<ReplicaClient, 'query' | 'queryAll'>;
  /** Newest established placement record. */
  readonly placement: PlacementRecord | undefined;
  /** Records a newer placement record that a replica reported. */
  observe(record: PlacementRecord): void;
}
