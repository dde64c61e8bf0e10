/** Runs a node in this process until a signal stops it. */
import type { Settings } from '../config/settings.js';
import { runKernel, type RunOutcome, type SignalSource } from '../kernel/run-kernel.js';
import { createNode, type NodeOptions } from './start-node.js';

/**
 * Starts a node and waits until it has stopped. The first SIGTERM or SIGINT, or an operator's
 * drain command, starts a planned stop, limited by `settings.stopTimeoutMs`; a SIGINT after that
 * stops the node at once.
 *
 * @returns `stopped` after a complete planned stop, `cut-short` when the time limit or a SIGINT
 * ended it early, `start-failed` when a plug-in could not start
 */
export async function runNode(
  settings: Settings,
  options: NodeOptions = {},
  signals: SignalSource = process,
): Promise<RunOutcome> {
  return await runKernel(createNode(settings, options), () => settings.stopTimeoutMs, signals);
}
