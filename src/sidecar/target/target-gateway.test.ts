/** The gateway with a real target: what it reports about the outcome of requests. */
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import "../../core/policies/adaptive.js";
import { createFailure } from "../../core/failure.js";
import { ResultCode } from "../../core/result-code.js";
import { findOverloadPolicy } from "../../core/overload-policy-registry.js";
import { systemClock } from "../../kernel/clock.js";
import { silentEventLog } from "../../kernel/event.js";
import { ForwardedFields } from "../forwarded-fields.js";
import type { AttemptCall, AttemptEnd } from "../link/link-messages.js";
import type { TargetStatements } from "../platform-adapter.js";
import type { QuarantineUpdate } from "../quarantine/quarantine-update.js";
import { RequestQuarantine } from "../quarantine/request-quarantine.js";
import { TargetGateway } from "./target-gateway.js";
import { createAnswerIntake } from '../../../test/support/answer-intake.js';

const FIELDS = {
  attemptId: "x-id",
  timeLeft: "x-left",
  expectedTarget: "x-expected",
  callerService: "x-caller",
  apiKey: "x-key",
  tenant: "x-group",
  notExecuted: "x-not-run",
  signature: "x-signature",
  targetId: "x-target",
};
const CALL: AttemptCall = {
  attemptId: "a",
  requestId: "a",
  service: "s",
  kind: "k",
  rank: 0,
  idempotent: true,
  depth: 0,
  repeated: false,
  committed: false,
  timeLeftMs: 5_000,
  dueInMs: 5_000,
  callerService: "c",
  method: "GET",
  path: "/",
  fields: ["Host", "h"],
  body: new Uint8Array(0),
};

const REFUSAL = createFailure(ResultCode.RulesOutdated, "scripted", {
  retryAfterMs: 50,
});

/** Parses the fields `x-limit`, `x-leaving` and `x-slowdown`. */
function parseStatements(
  headers: Readonly<Record<string, unknown>>,
): TargetStatements {
  const limit = headers["x-limit"];
  const isLeaving = headers["x-leaving"] === "1";
  const slowdown = headers["x-slowdown"];
  if (slowdown !== undefined) {
    const load = { running: 1, waiting: 0, slots: 10, slowdown: Number(slowdown) };
    return { load, isLeaving, invalid: [] };
  }
  if (limit === undefined) return { isLeaving, invalid: [] };
  const requestLimit = Number(limit);
  if (!Number.isNaN(requestLimit))
    return { requestLimit, isLeaving, invalid: [] };
  return {
    isLeaving,
    invalid: [{ statement: "request limit", value: String(limit) }],
  };
}

let target: Server;
let updates: QuarantineUpdate[];
let status: number;
let gateway: TargetGateway;
/** Tenant whose key has been revoked. */
let revokedTenant: string | undefined;
let rechecks: number[];
/** Incarnations that stated that they leave. */
let left: string[];
let sharesAdmission: boolean;

beforeEach(async () => {
  updates = [];
  rechecks = [];
  left = [];
  sharesAdmission = false;
  revokedTenant = undefined;
  target = createServer((request, response) => {
    response.writeHead(status, {
      [FIELDS.attemptId]: String(request.headers[FIELDS.attemptId]),
    });
    response.end("whole");
  });
  await new Promise<void>((resolve) => target.listen(0, "127.0.0.1", resolve));
  gateway = new TargetGateway({
    answers: createAnswerIntake(),
    service: "s",
    address: `127.0.0.1:${(target.address() as AddressInfo).port}`,
    fields: FIELDS,
    forwardedFields: new ForwardedFields(FIELDS),
    policy: findOverloadPolicy("adaptive")!,
    clock: systemClock,
    log: silentEventLog,
    seed: 1,
    objectiveQueue: 'auto',
    quarantine: new RequestQuarantine({
      clock: systemClock,
      log: silentEventLog,
      broadcast: (update) => updates.push(update),
      trialNodeOf: () => undefined,
    }),
    recheckAuthorization: (authorization, validForMs) => {
      rechecks.push(validForMs);
      return authorization.tenant === revokedTenant ? REFUSAL : undefined;
    },
    onIdentityMismatch: () => {},
    parseStatements,
    onLeaving: (incarnation) => left.push(incarnation),
    sharesAdmission: () => sharesAdmission,
  });
  gateway.setTarget({ id: "i-1", state: "ready", slots: 10, warmUntil: 0 });
});

afterEach(() => {
  target.close();
  target.closeAllConnections();
});

function send(attemptId: string): Promise<AttemptEnd> {
  return new Promise((resolve) =>
    gateway.dispatch({ ...CALL, attemptId }, resolve),
  );
}

for (const [answered, expectedShare] of [
  [200, 0],
  [404, 0],
  [504, 0],
  [500, 0.5],
] as const) {
  test(`the failure share reported for a target that answers ${answered} is ${expectedShare}`, async () => {
    status = answered;
    let end: AttemptEnd | undefined;
    for (let count = 0; count < 5; count += 1) end = await send(`a${count}`);
    assert.equal(
      end?.type === "answer" && end.status,
      answered,
      "the answer itself is unchanged",
    );
    assert.ok(
      Math.abs((end?.load?.failureShare ?? 0) - expectedShare) < 0.1,
      `${end?.load?.failureShare}`,
    );
  });
}

test("after a crash the requests that ran are suspect, and those answered before are not", async () => {
  status = 200;
  await send("answered");
  target.removeAllListeners("request");
  target.on("request", () => {
    target.close();
    target.closeAllConnections();
  });
  const ends: AttemptEnd[] = [];
  await new Promise<void>((resolve) => {
    gateway.dispatch({ ...CALL, path: "/cause" }, (end) => {
      ends.push(end);
      assert.equal(
        updates.length,
        1,
        "the update is sent before the request ends",
      );
      resolve();
    });
  });
  assert.equal(ends[0]?.type === "failure" && ends[0].execution, "unknown");
  const [update] = updates;
  assert.ok(update?.type === "target-ends");
  assert.deepEqual(
    update.ends.map(({ target: incarnation, requests }) => [
      incarnation,
      requests.length,
    ]),
    [["i-1", 1]],
  );
});

test("a request that is cancelled during the crash check may have run", async () => {
  target.removeAllListeners("request");
  let cancel: () => boolean = () => false;
  const interrupted = new Promise<void>((resolve) => {
    target.on("request", (request) => {
      request.socket.destroy();
      request.socket.on("close", resolve);
    });
  });
  cancel = gateway.dispatch(CALL, () => assert.fail("it was cancelled"));
  await interrupted;
  await new Promise((resolve) => setImmediate(resolve));
  assert.ok(cancel());
});

test("the authorization of a queued request is checked again before it is sent", async () => {
  const authorization = {
    tenant: "t",
    fingerprint: "f",
    rulesVersion: 1,
    validForMs: 3_000,
  };
  const authorized = { ...CALL, authorization };
  const running: (() => void)[] = [];
  const seen: string[] = [];
  target.removeAllListeners("request");
  target.on("request", (request, response) => {
    const attemptId = String(request.headers[FIELDS.attemptId]);
    seen.push(attemptId);
    running.push(() =>
      response.writeHead(200, { [FIELDS.attemptId]: attemptId }).end(),
    );
  });
  gateway.setTarget({ id: "i-2", state: "ready", slots: 1, warmUntil: 0 });
  const ends: AttemptEnd[] = [];
  for (const attemptId of ["first", "second"]) {
    gateway.dispatch({ ...authorized, attemptId }, (end) => ends.push(end));
  }
  while (running.length === 0)
    await new Promise((resolve) => setTimeout(resolve, 1));
  revokedTenant = "t";
  running[0]!();
  while (ends.length < 2)
    await new Promise((resolve) => setTimeout(resolve, 1));
  assert.deepEqual(
    seen,
    ["first"],
    "the request that had been sent completes, the other is not sent",
  );
  const refused = ends.find((end) => end.type === "failure");
  assert.ok(refused?.type === "failure");
  assert.deepEqual(
    [refused.execution, refused.code],
    ["not-run", ResultCode.RulesOutdated],
  );
  assert.ok(rechecks.at(-1)! < 3_000, "the wait counts");
});

test("an answer with status 500 is marked when a call below it was refused for load", async () => {
  target.removeAllListeners("request");
  target.on("request", (request, response) => {
    const attemptId = String(request.headers[FIELDS.attemptId]);
    if (attemptId === "refused") gateway.noteCallRefused(attemptId);
    response.writeHead(500, { [FIELDS.attemptId]: attemptId }).end();
  });
  const refused = await send("refused");
  assert.equal(refused.type === "answer" && refused.refusedBelow, true);
  assert.ok(
    (refused.load?.threshold ?? 0) > 0,
    "the threshold is reported to the entry nodes of such requests",
  );
  const failed = await send("failed");
  assert.equal(failed.type === "answer" && failed.refusedBelow, undefined);
});

/** Answers all requests with these header fields after a time. */
function answerWith(
  fields: Record<string, string>,
  delayMs = 0,
  answered = 200,
): void {
  target.removeAllListeners("request");
  target.on("request", (request, response) => {
    const identity = {
      [FIELDS.attemptId]: String(request.headers[FIELDS.attemptId]),
    };
    setTimeout(
      () =>
        response.writeHead(answered, { ...identity, ...fields }).end("whole"),
      delayMs,
    );
  });
}

test("a request limit that the target states is reported with its answer", async () => {
  answerWith({ "X-Limit": "7.3" });
  const end = await send("a");
  assert.equal(end.type === "answer" && end.status, 200);
  assert.equal(gateway.requestLimit, 7.3);
  assert.equal(end.load?.requestLimit, 7.3);
});

// Routing would not learn of a slowed machine, or would take every target for one that states it.
test("a slowdown that the target states is reported with its answer, and none before", async () => {
  answerWith({});
  const before = await send("a");
  assert.equal(gateway.slowdown, undefined);
  assert.ok(before.load !== undefined && !("slowdown" in before.load));
  assert.ok(!("kindLatencyMs" in before.load));
  answerWith({ "X-Slowdown": "2.5" });
  const { load } = await send("b");
  assert.ok(load?.slowdown !== undefined && load.slowdown > 2 && load.slowdown <= 2.5);
  assert.ok(load.kindLatencyMs !== undefined && load.kindLatencyMs > 0);
});

test("an invalid value leaves the stated request limit as it is", async () => {
  answerWith({ "X-Limit": "5" });
  await send("a");
  answerWith({ "X-Limit": "many" });
  await send("b");
  assert.equal(gateway.requestLimit, 5);
});

test("a refusal of the target states its request limit too", async () => {
  answerWith({ "X-Limit": "5", [FIELDS.notExecuted]: "1" }, 0, 503);
  await send("a");
  assert.equal(gateway.requestLimit, 5);
});

test("an answer of another target at the address states nothing", async () => {
  answerWith(
    { "X-Limit": "5", "X-Leaving": "1", [FIELDS.targetId]: "i-9" },
    0,
    421,
  );
  await send("a");
  assert.deepEqual([gateway.requestLimit, left], [undefined, []]);
});

test("requests beyond the stated limit are refused as not run, and not as load", async () => {
  answerWith({ "X-Limit": "2" });
  await send("a");
  const ends = await Promise.all(["b", "c", "d", "e", "f"].map(send));
  const refused = ends.filter((end) => end.type === "failure");
  assert.ok(refused.length > 0);
  for (const end of refused) {
    assert.deepEqual(
      [end.outcome, end.execution, end.code, end.offered],
      ["rate-limited", "not-run", ResultCode.TargetRateLimited, false],
    );
    assert.ok(end.retryAfterMs! >= 400, `${end.retryAfterMs}`);
    assert.equal(end.load?.threshold, 0);
  }
});

test("an answer of an earlier incarnation limits only that incarnation", async () => {
  answerWith({ "X-Limit": "5", "X-Leaving": "1" }, 50);
  const earlier = send("a");
  await new Promise((resolve) => setTimeout(resolve, 10));
  gateway.setTarget({ id: "i-2", state: "ready", slots: 10, warmUntil: 0 });
  const end = await earlier;
  assert.deepEqual([gateway.requestLimit, left], [undefined, ["i-1"]]);
  assert.equal(
    end.load,
    undefined,
    "the load of that incarnation is not reported",
  );
});

test("a relayed limit holds until the target itself has answered", async () => {
  gateway.onRelayedLimit({ incarnation: "i-2", requestsPerSecond: 3 });
  assert.equal(
    gateway.requestLimit,
    undefined,
    "it belongs to another incarnation",
  );
  gateway.setTarget({ id: "i-2", state: "ready", slots: 10, warmUntil: 0 });
  assert.equal(gateway.requestLimit, 3);
  gateway.onRelayedLimit({ incarnation: "i-2", requestsPerSecond: 2 });
  assert.equal(gateway.requestLimit, 2, "of several the lowest");
  answerWith({});
  await new Promise((resolve) => setTimeout(resolve, 600));
  await send("a");
  assert.equal(gateway.requestLimit, undefined);
  gateway.onRelayedLimit({ incarnation: "i-2", requestsPerSecond: 2 });
  assert.equal(
    gateway.requestLimit,
    undefined,
    "the target has answered since",
  );
});

/** Makes the target hold each request this long before it answers. */
function holdRequests(ms: number, onRequest: () => void = () => {}): void {
  target.removeAllListeners("request");
  target.on("request", (request, response) => {
    const id = String(request.headers[FIELDS.attemptId]);
    onRequest();
    setTimeout(() => {
      response.writeHead(status, { [FIELDS.attemptId]: id });
      response.end("whole");
    }, ms);
  });
}

// Guards against a cost that lacks the attempt itself or its calls.
test("the cost of an attempt is its slot time and the costs of its calls", async () => {
  sharesAdmission = true;
  status = 200;
  holdRequests(40, () => {
    gateway.noteCallCost("a", new Map([["deep", 30]]));
    gateway.noteCallCost("a", new Map([["deep", 12], ["s", 1_000]]));
  });
  const end = await send("a");
  const cost = end.type === "answer" ? end.cost : undefined;
  assert.equal(cost?.get("deep"), 42);
  const own = (cost?.get("s") ?? 0) - 1_000;
  assert.ok(own >= 39 && own < 4_000, `${own}`);
});

// Guards against a run with a failed call, which looks cheap.
test("the cost of an attempt is unknown when that of one of its calls is", async () => {
  sharesAdmission = true;
  status = 200;
  holdRequests(1, () => {
    gateway.noteCallCost("a", undefined);
    gateway.noteCallCost("a", new Map([["deep", 12]]));
  });
  const end = await send("a");
  assert.equal(end.type, "answer");
  assert.equal("cost" in end, false);
});

// Guards against changed messages in deployments where admission is not shared.
test("without shared admission answers carry no cost and name no short service", async () => {
  status = 200;
  for (const isOn of [false, true]) {
    sharesAdmission = isOn;
    holdRequests(1, () => {
      gateway.noteDownstream("a", "middle", 0.1, "short");
      gateway.noteCallCost("a", new Map([["deep", 12]]));
    });
    const end = await send("a");
    assert.equal("cost" in end, isOn);
    assert.equal(end.load?.shortService, isOn ? "short" : undefined);
    assert.ok((end.load?.threshold ?? 0) > 0);
  }
});
