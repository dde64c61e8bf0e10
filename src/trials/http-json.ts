/** JSON requests to control endpoints and to the admin API. */

/** Sends `body` as JSON by POST, or a GET without a body. Rejects on any status but 200. */
export async function requestJson<T>(
  url: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<T> {
  const response = await fetch(url, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { 'content-type': 'application/json', connection: 'close', ...headers },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
  });
  if (response.status !== 200) {
    throw new Error(`${url}: ${response.status} ${await response.text()}`);
  }
  return (await response.json()) as T;
}

const REQUEST_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 50;

/** An error that a retry cannot fix; {@link poll} rethrows it at once. */
export class FatalError extends Error {}

/** Retries `check` until it returns true; rejects with its last error after `timeoutMs`. */
export async function poll(
  what: string,
  timeoutMs: number,
  check: () => Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  let reason = 'condition not met';
  for (;;) {
    try {
      if (await check()) return;
    } catch (error) {
      if (error instanceof FatalError) throw error;
      reason = String(error);
    }
    if (performance.now() > deadline) throw new Error(`${what}: ${reason}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
