/** Reports the load of the local target's gate to the coordinator of its service while the gate is busy. */
import type { GateMeter } from '../../core/admission/gate-meter.js';
import type { CancelTimer, Clock } from '../../kernel/clock.js';
import type { AdmissionPort } from './admission-messages.js';
import type { CoordinatorChoice } from './coordinator-choice.js';

const REPORT_INTERVAL_MS = 200;
/**
 * Time for which a gate goes on to report after it was last busy, in milliseconds. Gates that fell silent as
 * soon as a plan works would take their slots from it.
 */
const REPORT_AFTER_BUSY_MS = 5_000;

export interface CapacityReporterOptions {
  readonly node: string;
  readonly service: string;
  readonly clock: Clock;
  readonly meter: GateMeter;
  /** Whether admission is shared. */
  isOn(): boolean;
  choice(): CoordinatorChoice;
  /** Port to a node; undefined while no link to it is open. */
  portOf(node: string): AdmissionPort | undefined;
  /** Called at each report while the gate is busy. */
  onBusy(): void;
}

/** No timer runs while the gate is not busy. */
export class CapacityReporter {
  private cancelTimer: CancelTimer | undefined;
  private busyAt = -Infinity;

  constructor(private readonly options: CapacityReporterOptions) {}

  /** Called when the gate is busy; begins to report unless reports are sent already. */
  start(): void {
    if (this.cancelTimer !== undefined || !this.options.isOn()) return;
    this.busyAt = this.options.clock.now();
    this.options.meter.take();
    this.schedule();
    this.options.onBusy();
  }

  close(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
  }

  private schedule(): void {
    this.cancelTimer = this.options.clock.schedule(REPORT_INTERVAL_MS, () => {
      this.tick();
    });
  }

  private tick(): void {
    const { clock, meter, node, service, choice, portOf, onBusy } = this.options;
    const now = clock.now();
    this.cancelTimer = undefined;
    if (meter.isBusy) {
      this.busyAt = now;
      onBusy();
    } else if (now - this.busyAt > REPORT_AFTER_BUSY_MS) return;
    const capacity = meter.take();
    if (capacity !== undefined) {
      portOf(choice().choose(now))?.reportCapacity({ node, service, capacity });
    }
    this.schedule();
  }
}
