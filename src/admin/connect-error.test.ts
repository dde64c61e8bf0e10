import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Code, ConnectError } from '@connectrpc/connect';
import { createFailure } from '../core/failure.js';
import { RESULT_CODES, ResultCode } from '../core/result-code.js';
import { toConnectCode, toConnectError, toFailure } from './connect-error.js';

test('every failure survives conversion to a Connect error and back', () => {
  for (const [code, { execution }] of RESULT_CODES) {
    const failure = createFailure(code, 'detail', { execution, retryAfterMs: 5 });
    assert.deepEqual(toFailure(toConnectError(failure)), failure);
  }
});

const CODES: readonly (readonly [ResultCode, Code])[] = [
  [ResultCode.RulesInvalid, Code.InvalidArgument],
  [ResultCode.OperatorUnauthenticated, Code.Unauthenticated],
  [ResultCode.TenantMismatch, Code.PermissionDenied],
  [ResultCode.RevisionNotFound, Code.NotFound],
  [ResultCode.RevisionConflict, Code.Aborted],
  [ResultCode.PlatformRateLimited, Code.ResourceExhausted],
  [ResultCode.PlatformUnavailable, Code.Unavailable],
  [ResultCode.WriteOutcomeUnknown, Code.DeadlineExceeded],
  [ResultCode.Internal, Code.Internal],
];
for (const [code, expected] of CODES) {
  test(`${ResultCode[code]} becomes Connect code ${Code[expected]}`, () => {
    assert.equal(toConnectCode(code), expected);
  });
}

const WITHOUT_DETAIL: readonly (readonly [string, unknown, ResultCode])[] = [
  ['connection refused', new ConnectError('refused', Code.Unavailable), ResultCode.PeerUnreachable],
  ['time limit', new ConnectError('late', Code.DeadlineExceeded), ResultCode.PeerTimeout],
  ['connection lost', new ConnectError('lost', Code.Aborted), ResultCode.PeerLost],
  ['a defect', new Error('defect'), ResultCode.Internal],
  [
    'a result code in the header only',
    new ConnectError('x', Code.Unknown, { 'sillshore-result': '5006' }),
    ResultCode.OperatorUnauthenticated,
  ],
  [
    'an unknown result code in the header',
    new ConnectError('x', Code.Unknown, { 'sillshore-result': '77' }),
    ResultCode.Internal,
  ],
];
for (const [name, error, code] of WITHOUT_DETAIL) {
  test(`an error without detail gets a result code: ${name}`, () => {
    assert.equal(toFailure(error).code, code);
  });
}
