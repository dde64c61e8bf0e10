/** Changes that operators make at the target side of a node. */
export interface TargetAdministration {
  /**
   * Starts or ends an operator's drain of a target; a drained target gets no new work.
   *
   * @returns false when this node does not front the target
   */
  drainTarget(target: string, drained: boolean): boolean;
}
