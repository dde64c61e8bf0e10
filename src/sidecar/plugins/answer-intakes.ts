/** Bounds for the answers of the target and of the store. */
import type { ResolutionContext } from 'inversify';
import type { AnswerLimits } from '../../core/holding/answer-allowance.js';
import {
  precedingBuffers,
  yieldingBuffers,
  type OpenAnswerBuffers,
} from '../../core/holding/answer-buffers.js';
import { AnswerIntake } from '../../http/answer-intake.js';
import { ClientLimitReports } from '../../http/client-limit-reports.js';
import { Token } from '../../kernel/token.js';
import type { ListingLimit } from '../../store/metadata-store.js';
import { storeAnswerLimits, storeListingBytes, targetAnswerLimits } from '../client-limits.js';
import { SidecarToken } from './tokens.js';

export function createTargetIntake(context: ResolutionContext): AnswerIntake {
  const limits = targetAnswerLimits(context.get(SidecarToken.Settings));
  return createIntake(context, 'target', limits, yieldingBuffers(context.get(SidecarToken.Bodies)));
}

export function createStoreIntake(context: ResolutionContext): AnswerIntake {
  const limits = storeAnswerLimits(context.get(SidecarToken.Settings));
  return createIntake(context, 'store', limits, precedingBuffers(context.get(SidecarToken.Bodies)));
}

/** Bounds the listings of the store, whose pages may come without end. */
export function createListingLimit(context: ResolutionContext): ListingLimit {
  const maxBytes = storeListingBytes(context.get(SidecarToken.Settings));
  const note = createLimitNote(context, 'store');
  return {
    maxBytes,
    onTooLong: () => {
      note('listing-bytes');
    },
  };
}

function createIntake(
  context: ResolutionContext,
  port: 'target' | 'store',
  limits: AnswerLimits,
  openBuffers: OpenAnswerBuffers,
): AnswerIntake {
  return new AnswerIntake({ limits, openBuffers, onLimit: createLimitNote(context, port) });
}

/**
 * Returns the function that is told of each limit that a server has reached.
 *
 * @param port name of the server in the metric and the log
 */
function createLimitNote({ get }: ResolutionContext, port: string): (limit: string) => void {
  let reports: ClientLimitReports | undefined;
  return (limit) => {
    const hits = get(SidecarToken.Metrics).limitHits;
    const [clock, log] = [get(Token.Clock), get(Token.EventLog)];
    reports ??= new ClientLimitReports({ port, hits, clock, log });
    reports.note(limit);
  };
}
