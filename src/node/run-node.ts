/** Runs a node in this process until a signal stops it. */
import type { Settings } from '../config/settings.js';
import { runKernel, type NodeEnd, type SignalSource } from '../kernel/run-kernel.js';
import { createNode, type NodeOptions } from './start-node.js';

/**
 * Starts a node and waits for its end. The first SIGTERM or SIGINT, or an operator's drain
 * command, starts a planned stop, bounded by `settings.stopTimeoutMs`; a SIGINT after that
 * stops at once.
 *
 * @returns `stopped` after a complete planned stop, `cut-short` when the time limit or a
 * SIGINT after the first signal ended it
 */
export async function runNode(
  settings: Settings,
  options: NodeOptions = {},
  signals: SignalSource = process,
): Promise<NodeEnd> {
  return await runKernel(createNode(settings, options), () => settings.stopTimeoutMs, signals);
}
