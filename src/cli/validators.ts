/** Typanion validators of option values; an invalid value ends the command with exit code 2. */
import * as t from 'typanion';

const ADMIN_URL = /^(https?:\/\/)?([A-Za-z0-9.-]+|\[[0-9a-fA-F:]+\]):\d{1,5}\/?$/;

/** A whole number, `least` or higher. */
export function isWholeNumber(least: number): t.StrictValidator<unknown, number> {
  return t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(least)]);
}

/** `http://host:port` or `https://host:port`; a value without scheme means http. */
export const isAdminUrl = t.makeValidator<unknown, string>({
  test: (value, state): value is string => {
    if (typeof value === 'string' && ADMIN_URL.test(value)) return true;
    state?.errors?.push(`${state.p ?? '.'}: expected an address and port, as 127.0.0.1:9000`);
    return false;
  },
});
