/** Setting `loadControl.statedLoad`. */
import type { TargetStatements } from '../platform-adapter.js';

type ParseStatements = (headers: Readonly<Record<string, unknown>>) => TargetStatements;

/** Slowdown of a machine that works as usual. */
const USUAL_SLOWDOWN = 1;

/**
 * Returns a parser that passes loads on in mode `auto`, and neither loads nor invalid ones in mode `off`.
 *
 * @param isLargeFleet in a large fleet, a target that states its load without a slowdown counts as working as
 * usual, since routing by learnt speed and queueing by objective need no more than that
 */
export function switchStatedLoad(
  mode: 'auto' | 'off',
  parse: ParseStatements,
  isLargeFleet: () => boolean,
): ParseStatements {
  if (mode === 'off') return (headers) => withoutLoad(parse(headers));
  return (headers) => {
    const statements = parse(headers);
    const { load } = statements;
    if (load === undefined || load.slowdown !== undefined || !isLargeFleet()) return statements;
    return { ...statements, load: { ...load, slowdown: USUAL_SLOWDOWN } };
  };
}

function withoutLoad({ requestLimit, isLeaving, invalid }: TargetStatements): TargetStatements {
  return {
    ...(requestLimit === undefined ? {} : { requestLimit }),
    isLeaving,
    invalid: invalid.filter(({ statement }) => statement !== 'load'),
  };
}
