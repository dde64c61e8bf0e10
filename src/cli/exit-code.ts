/** Exit codes of the command line; docs/CLI.md has the same table. */
import type { Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';

export enum ExitCode {
  Ok = 0,
  /** The operation failed, or a node ended before its planned stop was complete. */
  OperationFailed = 1,
  /** Wrong usage, or an invalid settings, rules or scenario document. */
  InvalidInput = 2,
  /** The node or the platform is unreachable or not serving at the moment; try again. */
  Unavailable = 3,
  /** Another change to the configuration came first. */
  Conflict = 4,
  /** A run found that one of the system's guarantees was broken. */
  GuaranteeBroken = 5,
}

const EXIT_CODES: Partial<Record<ResultCode, ExitCode>> = {
  [ResultCode.RulesInvalid]: ExitCode.InvalidInput,
  [ResultCode.SettingsInvalid]: ExitCode.InvalidInput,
  [ResultCode.ScenarioInvalid]: ExitCode.InvalidInput,
  [ResultCode.InvalidField]: ExitCode.InvalidInput,
  [ResultCode.InvalidArgument]: ExitCode.InvalidInput,
  [ResultCode.BodyTooLarge]: ExitCode.InvalidInput,
  [ResultCode.MalformedRequest]: ExitCode.InvalidInput,
  [ResultCode.PlatformUnavailable]: ExitCode.Unavailable,
  [ResultCode.PlatformRateLimited]: ExitCode.Unavailable,
  [ResultCode.NotReady]: ExitCode.Unavailable,
  [ResultCode.NodeDraining]: ExitCode.Unavailable,
  [ResultCode.PeerUnreachable]: ExitCode.Unavailable,
  [ResultCode.PeerTimeout]: ExitCode.Unavailable,
  [ResultCode.RevisionConflict]: ExitCode.Conflict,
};

/** Exit code of a command that ended with a failure. */
export function exitCodeOf(failure: Failure): ExitCode {
  return EXIT_CODES[failure.code] ?? ExitCode.OperationFailed;
}
