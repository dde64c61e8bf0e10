/** Exit codes of the command line; docs/CLI.md holds the same table. */
import type { Failure } from '../core/failure.js';
import { ResultCode } from '../core/result-code.js';

/** What a finished command tells the shell. */
export enum ExitCode {
  Ok = 0,
  /** The operation failed, or a node ended before its planned stop was complete. */
  OperationFailed = 1,
  /** Wrong usage, or an invalid settings, rules or scenario document. */
  InvalidInput = 2,
  /** The node or the platform cannot be reached or does not serve now; try again. */
  Unavailable = 3,
  /** Somebody else changed the configuration first. */
  Conflict = 4,
  /** A run saw one of the system's guarantees broken. */
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
