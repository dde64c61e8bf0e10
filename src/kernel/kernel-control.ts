/** What plug-ins see of the kernel that runs them. */

/** See the module comment. */
export interface KernelControl {
  /** Whether a planned stop was asked for or has begun. */
  readonly draining: boolean;
  /** Asks whoever runs the node for a planned stop. */
  requestStop(): void;
}
