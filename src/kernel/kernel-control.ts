/** The part of the kernel that its plug-ins may use. */
export interface KernelControl {
  /** Whether a planned stop was requested or has begun. */
  readonly draining: boolean;
  /** Requests a planned stop, which `runKernel` then performs. */
  requestStop(): void;
}
