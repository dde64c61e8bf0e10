/** Bounds for the clients of an HTTP port that is not the callers'. */
import type { ResolutionContext } from 'inversify';
import { ConnectionGuard } from '../../http/connection-guard.js';
import { Token } from '../../kernel/token.js';
import { servicePortLimits } from '../client-limits.js';
import { SidecarToken } from './tokens.js';

/** @param port name of the port in the metrics */
export function createServicePortGuard(
  { get }: ResolutionContext,
  port: 'readiness' | 'registration' | 'metrics',
): ConnectionGuard {
  const limits = servicePortLimits(get(SidecarToken.Settings));
  return new ConnectionGuard(limits, get(Token.Clock), (limit) => {
    get(SidecarToken.Metrics).limitHits.inc({ port, limit });
  });
}
