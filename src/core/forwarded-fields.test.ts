import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readParent, withBaggage } from './call-baggage.js';
import { forwardAnswerFields, forwardRequestFields } from './forwarded-fields.js';
import type { HeaderFields } from './http-message.js';

test('request fields keep order and case, without hop-by-hop fields, with a new length', () => {
  const cases: { method: string; length: number; sent: HeaderFields; passed: HeaderFields }[] = [
    {
      method: 'GET',
      length: 0,
      sent: [
        ['Host', 'a'],
        ['X-One', '1'],
        ['x-one', '2'],
        ['Connection', 'X-Hop'],
        ['X-Hop', 'h'],
      ],
      passed: [
        ['Host', 'a'],
        ['X-One', '1'],
        ['x-one', '2'],
      ],
    },
    {
      method: 'GET',
      length: 0,
      sent: [
        ['TE', 'trailers'],
        ['Upgrade', 'h2c'],
        ['Keep-Alive', 'timeout=9'],
        ['Host', 'a'],
      ],
      passed: [['Host', 'a']],
    },
    {
      method: 'POST',
      length: 3,
      sent: [
        ['Transfer-Encoding', 'chunked'],
        ['Expect', '100-continue'],
        ['Host', 'a'],
      ],
      passed: [
        ['Host', 'a'],
        ['Content-Length', '3'],
      ],
    },
    {
      method: 'POST',
      length: 0,
      sent: [['Host', 'a']],
      passed: [
        ['Host', 'a'],
        ['Content-Length', '0'],
      ],
    },
    {
      method: 'DELETE',
      length: 2,
      sent: [
        ['content-length', '2'],
        ['Host', 'a'],
      ],
      passed: [
        ['Host', 'a'],
        ['Content-Length', '2'],
      ],
    },
  ];
  for (const { method, length, sent, passed } of cases) {
    assert.deepEqual(forwardRequestFields(method, sent, length), passed);
  }
});

test('answer fields: all but hop-by-hop ones pass', () => {
  const headers: HeaderFields = [
    ['Set-Cookie', 'a'],
    ['Set-Cookie', 'b'],
    ['Content-Length', '4'],
    ['Connection', 'close, X-Secret'],
    ['X-Secret', 's'],
  ];
  assert.deepEqual(forwardAnswerFields(headers), [
    ['Set-Cookie', 'a'],
    ['Set-Cookie', 'b'],
    ['Content-Length', '4'],
  ]);
});

test('baggage: members of sillshore are replaced, all others pass', () => {
  const own = { parentAttemptId: 'n.1.a', nodeId: 'n', deadlineMs: 12.7, requestId: 'r' };
  const before: HeaderFields = [
    ['Baggage', 'user=1;p=2, sillshore-parent=old'],
    ['baggage', 'sillshore-node=x,other=2'],
  ];
  const after = withBaggage(before, own);
  const expected =
    'user=1;p=2,other=2,sillshore-parent=n.1.a,sillshore-node=n,sillshore-deadline=12,sillshore-request=r';
  assert.deepEqual(after, [['baggage', expected]]);
  assert.deepEqual(readParent(after), { parentAttemptId: 'n.1.a', nodeId: 'n' });
  assert.equal(readParent([['baggage', 'other=1']]), undefined);
});
