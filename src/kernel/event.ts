/**
 * Numbered log events. docs/EVENTS.md lists the same events; a test fails when the
 * two differ. Numbers are never reused.
 */
import pino, { type DestinationStream } from 'pino';
import { LineOutput, type LeftOutLines } from './line-output.js';

/** 1xx node, 2xx configuration, 3xx membership, 4xx requests, 5xx claims, 6xx peers, 7xx operators. */
export enum Event {
  NodeStarted = 100,
  NodeDraining = 101,
  NodeStopped = 102,
  InternalError = 103,
  SettingsRejected = 104,
  LinesLeftOut = 105,
  SettingsReloaded = 106,
  ReadinessChanged = 107,
  StopSignalRepeated = 108,
  CallersDrained = 109,
  CodeCacheUnused = 110,
  PortTaken = 111,
  PortBound = 112,
  EventLoopDelayed = 113,
  RulesInForce = 200,
  RulesAccepted = 201,
  RulesRejected = 202,
  PlatformUnavailable = 203,
  PlatformRecovered = 204,
  OlderRevisionIgnored = 205,
  MachineListUpdated = 206,
  StoreEraChanged = 207,
  RulesOutdated = 208,
  RulesConfirmed = 209,
  StoreWaitSilent = 210,
  MemberJoined = 300,
  MemberSuspected = 301,
  MemberFailed = 302,
  MemberLeaving = 303,
  MemberRefuted = 304,
  MemberRecordRejected = 305,
  OwnRecordReplaced = 306,
  RequestRefused = 400,
  RequestFailed = 401,
  TargetDraining = 402,
  TargetUnreachable = 403,
  LimitChanged = 404,
  EntryInputRejected = 405,
  TargetReported = 406,
  TargetReportRejected = 407,
  RequestServed = 408,
  AttemptFailed = 409,
  RequestUnanswered = 410,
  AnswerCut = 411,
  RequestAfterClose = 412,
  TargetEnded = 413,
  RequestQuarantined = 414,
  QuarantineLifted = 415,
  QuotaCountingBegun = 416,
  QuotaCountingEnded = 417,
  AttemptRefused = 418,
  TargetLimitChanged = 419,
  TargetStatementRejected = 420,
  AdmissionPlanChanged = 421,
  AdmissionCoordinatorChanged = 422,
  PeerFiguresRejected = 423,
  AnswerUnwritable = 424,
  ClientLimitReached = 425,
  AdmissionPlanned = 426,
  ClaimRefused = 500,
  ClaimReplicaRecovering = 501,
  ClaimReplicaReady = 502,
  ClaimHandedOver = 503,
  PeerConnected = 600,
  PeerDisconnected = 601,
  PeerRejected = 602,
  FrameRejected = 603,
  PeerTargetChanged = 604,
  PeersSilent = 605,
  OperatorRequest = 700,
  OperatorRejected = 701,
}

type Level = 'debug' | 'info' | 'warn' | 'error';

/** Level and text of each event. */
export const EVENTS: Readonly<Record<Event, readonly [Level, string]>> = {
  [Event.NodeStarted]: ['info', 'node started'],
  [Event.NodeDraining]: ['info', 'planned stop: node accepts no new work'],
  [Event.NodeStopped]: ['info', 'node stopped'],
  [Event.InternalError]: ['error', 'internal error'],
  [Event.SettingsRejected]: ['error', 'settings rejected'],
  [Event.LinesLeftOut]: ['warn', 'log lines dropped'],
  [Event.SettingsReloaded]: ['info', 'settings reloaded'],
  [Event.ReadinessChanged]: ['info', 'readiness changed'],
  [Event.StopSignalRepeated]: ['warn', 'stop signal received while the node is stopping'],
  [Event.CallersDrained]: ['info', "drain of the callers' interface ended"],
  [Event.CodeCacheUnused]: ['warn', 'code cache not used'],
  [Event.PortTaken]: ['warn', 'port taken: tried again'],
  [Event.PortBound]: ['info', 'port bound after it was taken'],
  [Event.EventLoopDelayed]: ['warn', 'this process was delayed: it lacks processor time'],
  [Event.RulesInForce]: ['info', 'rules revision in force'],
  [Event.RulesAccepted]: ['info', 'rules revision accepted'],
  [Event.RulesRejected]: ['warn', 'rules rejected'],
  [Event.PlatformUnavailable]: ['warn', 'platform service unavailable'],
  [Event.PlatformRecovered]: ['info', 'platform service available again'],
  [Event.OlderRevisionIgnored]: ['debug', 'older rules revision ignored'],
  [Event.MachineListUpdated]: ['debug', 'list of machines changed'],
  [Event.StoreEraChanged]: ['warn', 'store was restored from an older copy'],
  [Event.RulesOutdated]: ['warn', 'rules not confirmed recently: API keys are refused'],
  [Event.RulesConfirmed]: ['info', 'rules confirmed again: API keys are accepted'],
  [Event.StoreWaitSilent]: [
    'warn',
    'wait for changes on a silent connection: connections replaced',
  ],
  [Event.MemberJoined]: ['info', 'member joined'],
  [Event.MemberSuspected]: ['info', 'member suspected'],
  [Event.MemberFailed]: ['warn', 'member considered failed'],
  [Event.MemberLeaving]: ['info', 'member is leaving'],
  [Event.MemberRefuted]: ['info', 'suspicion of this node refuted'],
  [Event.MemberRecordRejected]: ['warn', 'record of a member rejected'],
  [Event.OwnRecordReplaced]: ['warn', 'record of this node was replaced: written again'],
  [Event.RequestRefused]: ['info', 'request refused'],
  [Event.RequestFailed]: ['info', 'request failed'],
  [Event.TargetDraining]: ['info', 'target is leaving'],
  [Event.TargetUnreachable]: ['warn', 'target unreachable'],
  [Event.LimitChanged]: ['debug', 'concurrency limit changed'],
  [Event.EntryInputRejected]: ['info', 'caller input rejected'],
  [Event.TargetReported]: ['info', 'local target changed'],
  [Event.TargetReportRejected]: ['warn', 'report of a target rejected'],
  [Event.RequestServed]: ['debug', 'request served'],
  [Event.AttemptFailed]: ['info', 'attempt failed'],
  [Event.RequestUnanswered]: ['info', 'connection closed before the answer'],
  [Event.AnswerCut]: ['info', 'connection closed before the answer was written'],
  [Event.RequestAfterClose]: ['warn', 'request not accepted: its connection is closing'],
  [Event.TargetEnded]: ['warn', 'target crashed while it ran requests'],
  [Event.RequestQuarantined]: ['warn', 'request quarantined'],
  [Event.QuarantineLifted]: ['info', 'quarantine of a request lifted'],
  [Event.QuotaCountingBegun]: ['info', 'node counts the limits of a group of tenants'],
  [Event.QuotaCountingEnded]: ['info', 'node no longer counts the limits of a group of tenants'],
  [Event.AttemptRefused]: ['info', 'attempt refused at the gate of its target'],
  [Event.TargetLimitChanged]: ['info', 'local target states another request limit'],
  [Event.TargetStatementRejected]: ['warn', 'statement in an answer of the target rejected'],
  [Event.AdmissionPlanChanged]: ['info', 'admission plan of a service changed'],
  [Event.AdmissionCoordinatorChanged]: [
    'info',
    'another node coordinates the admission to a service',
  ],
  [Event.PeerFiguresRejected]: ['warn', 'figures in a message of another node ignored'],
  [Event.AnswerUnwritable]: ['error', 'answer cannot be written: 502 sent in its place'],
  [Event.ClientLimitReached]: ['warn', 'clients reached a limit on what they may hold'],
  [Event.AdmissionPlanned]: ['info', 'capacity of a short service divided among classes'],
  [Event.ClaimRefused]: ['info', 'claim refused'],
  [Event.ClaimReplicaRecovering]: ['info', 'claim replica recovering its tables'],
  [Event.ClaimReplicaReady]: ['info', 'claim replica ready to vote'],
  [Event.ClaimHandedOver]: ['info', 'claim tables transferred'],
  [Event.PeerConnected]: ['debug', 'link to peer up'],
  [Event.PeerDisconnected]: ['info', 'link to peer down'],
  [Event.PeerRejected]: ['warn', 'peer rejected'],
  [Event.FrameRejected]: ['warn', 'frame rejected'],
  [Event.PeerTargetChanged]: ['info', 'target of a peer changed'],
  [Event.PeersSilent]: ['warn', 'several peers silent: open connections verified or replaced'],
  [Event.OperatorRequest]: ['info', 'operator request'],
  [Event.OperatorRejected]: ['warn', 'operator request rejected'],
};

/** Values that are logged with an event. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes numbered events. */
export interface EventLog {
  emit(event: Event, fields?: EventFields): void;
  /** Whether a line is written for the event; absent: always. Lets callers skip its fields. */
  writes?(event: Event): boolean;
  /** Lines that the output has refused or that nobody read, since the start; absent: not counted. */
  linesLeftOut?(): LeftOutLines;
}

/** File descriptors that log lines can be written to. */
export enum LogStream {
  Output = 1,
  Error = 2,
}

/** Writes events as pino JSON lines, by default to standard error; see {@link LineOutput}. */
export function createPinoEventLog(
  level: string,
  bindings: EventFields = {},
  stream: LogStream = LogStream.Error,
): EventLog {
  const output = new LineOutput(stream, (leftOut) => {
    log.emit(Event.LinesLeftOut, { ...leftOut });
  });
  const log: EventLog = {
    ...createEventLogTo(output, level, bindings),
    linesLeftOut: () => output.leftOut,
  };
  return log;
}

/** Writes events as pino JSON lines to a destination. */
export function createEventLogTo(
  destination: DestinationStream,
  level: string,
  bindings: EventFields = {},
): EventLog {
  const logger = pino({ level, base: { ...bindings } }, destination);
  return {
    emit: (event, fields = {}) => {
      const [eventLevel, text] = EVENTS[event];
      logger[eventLevel]({ event, ...fields }, text);
    },
    writes: (event) => logger.isLevelEnabled(EVENTS[event][0]),
  };
}

export const silentEventLog: EventLog = { emit: () => {} };
