/** Small JSON requests to control endpoints and to the operators' interface. */

/** Sends JSON (POST) or reads it (no body); rejects on any other status than 200. */
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

/** An error that no repeat can mend; {@link poll} passes it on at once. */
export class FatalError extends Error {}

/** Repeats `check` until it gives true; rejects with the last reason after `timeoutMs`. */
export async function poll(
  what: string,
  timeoutMs: number,
  check: () => Promise<boolean>,
): Promise<void> {
  const giveUpAt = performance.now() + timeoutMs;
  let reason = 'condition not met';
  for (;;) {
    try {
      if (await check()) return;
    } catch (error) {
      if (error instanceof FatalError) throw error;
      reason = String(error);
    }
    if (performance.now() > giveUpAt) throw new Error(`${what}: ${reason}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
