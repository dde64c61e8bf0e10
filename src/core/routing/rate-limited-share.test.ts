import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RateLimitedShare } from './rate-limited-share.js';

const STEP_MS = 10;

/** Sends whenever allowed for a time, and lets a share of the attempts be accepted. */
function sendFor(
  share: RateLimitedShare,
  from: number,
  forMs: number,
  accepts: (sent: number) => boolean,
): number {
  let sent = 0;
  for (let now = from; now < from + forMs; now += STEP_MS) {
    if (!share.allows(now, 0)) continue;
    share.noteSent(now);
    sent += 1;
    if (accepts(sent)) share.noteAccepted(now);
  }
  return sent;
}

test('a router that is accepted only now and then sends little more than twice that', () => {
  const share = new RateLimitedShare();
  share.setLimit(1);
  let accepted = 0;
  let sent = 0;
  for (let now = 0; now < 60_000; now += STEP_MS) {
    if (!share.allows(now, 0)) continue;
    share.noteSent(now);
    sent += 1;
    // The target's node lets one a second pass, and two together after a pause.
    accepted = Math.max(accepted, now / 1_000 - 2);
    if (accepted + 1 > now / 1_000 + 1) continue;
    accepted += 1;
    share.noteAccepted(now);
  }
  assert.ok(sent >= 60 && sent <= 160, `${sent} sent at an accepted rate of up to 1 a second`);
});

test('a router that was refused everything keeps trying', () => {
  const share = new RateLimitedShare();
  const sent = sendFor(share, 0, 60_000, () => false);
  assert.ok(sent >= 10 && sent <= 14, `${sent}`);
});

test('less important requests leave attempts in hand to more important ones', () => {
  const share = new RateLimitedShare();
  assert.ok(share.allows(0, 0));
  assert.ok(!share.allows(0, 3));
  share.noteSent(0);
  assert.ok(!share.allows(1_000, 3));
  assert.ok(share.allows(60_000, 3), 'unless the more important ones do not use them');
});
