/** Base class of the commands that call a node's admin API. */
import { Option } from 'clipanion';
import { Result } from 'true-myth';
import type { ApplyFailure } from '../config/rules-repository.js';
import type { Failure } from '../core/failure.js';
import { createFailure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';
import type { AdminClient } from './admin-client.js';
import { SillshoreCommand } from './command.js';
import { ExitCode } from './exit-code.js';
import { isAdminUrl, isWholeNumber } from './validators.js';

const DEFAULT_TIMEOUT_MS = 10_000;

/** Part of the commands' help: how a command finds its node and its token. */
export const CONNECTION_HELP =
  '`--admin` or SILLSHORE_ADMIN gives the node, `--token` or SILLSHORE_TOKEN the token.';

/** Connects to the node of the options or the environment and runs `operate` with the client. */
export abstract class OperatorCommand extends SillshoreCommand {
  admin = Option.String('--admin', {
    description: "Address of a node's operators' interface, for example 127.0.0.1:9000",
    env: 'SILLSHORE_ADMIN',
    validator: isAdminUrl,
  });

  token = Option.String('--token', {
    description: "The operators' token",
    env: 'SILLSHORE_TOKEN',
  });

  timeoutMs = Option.String('--timeout-ms', String(DEFAULT_TIMEOUT_MS), {
    description: `Time limit of one call in milliseconds, by default ${DEFAULT_TIMEOUT_MS}`,
    validator: isWholeNumber(1),
  });

  protected async run(): Promise<ExitCode> {
    const { admin, token } = this;
    if (admin === undefined || token === undefined) {
      const missing =
        admin === undefined ? '--admin or SILLSHORE_ADMIN' : '--token or SILLSHORE_TOKEN';
      return this.fail(createFailure(ResultCode.InvalidArgument, `${missing} is needed`));
    }
    return await this.operate(await this.connect(admin, token));
  }

  protected abstract operate(client: AdminClient): Promise<ExitCode>;

  protected async connect(url: string, token: string): Promise<AdminClient> {
    const { createAdminClient } = await import('./admin-client.js');
    return createAdminClient({ url, token, timeoutMs: this.timeoutMs });
  }
}

/** Awaits a call of the client and converts its errors to failures. */
export async function callAdmin<T>(call: Promise<T>): Promise<Result<T, ApplyFailure>> {
  try {
    return Result.ok<T, ApplyFailure>(await call);
  } catch (error) {
    const { toFailure } = await import('../admin/connect-error.js');
    return Result.err<T, ApplyFailure>(toFailure(error));
  }
}

/** Whether a change's outcome is unknown and a retry under its operation id can resolve it. */
export function isOutcomeUnknown(failure: Failure): boolean {
  return failure.execution === 'unknown' && failure.code !== ResultCode.Internal;
}
