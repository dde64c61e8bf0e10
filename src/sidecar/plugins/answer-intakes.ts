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
import { storeAnswerLimits, targetAnswerLimits } from '../client-limits.js';
import { SidecarToken } from './tokens.js';

export function createTargetIntake(context: ResolutionContext): AnswerIntake {
  const limits = targetAnswerLimits(context.get(SidecarToken.Settings));
  return createIntake(context, 'target', limits, yieldingBuffers(context.get(SidecarToken.Bodies)));
}

export function createStoreIntake(context: ResolutionContext): AnswerIntake {
  const limits = storeAnswerLimits(context.get(SidecarToken.Settings));
  return createIntake(context, 'store', limits, precedingBuffers(context.get(SidecarToken.Bodies)));
}

/** @param port name of the server in the metric and the log */
function createIntake(
  { get }: ResolutionContext,
  port: string,
  limits: AnswerLimits,
  openBuffers: OpenAnswerBuffers,
): AnswerIntake {
  let reports: ClientLimitReports | undefined;
  return new AnswerIntake({
    limits,
    openBuffers,
    onLimit: (limit) => {
      const hits = get(SidecarToken.Metrics).limitHits;
      reports ??= new ClientLimitReports({
        port,
        hits,
        clock: get(Token.Clock),
        log: get(Token.EventLog),
      });
      reports.note(limit);
    },
  });
}
