/** Figures of classes as text, for log lines. */
import { CRITICALITIES } from '../../core/request.js';

const DIGITS = 2;

/** @param figures one for each class, by rank */
export function classFiguresText(figures: readonly number[]): string {
  return figures
    .map((figure, rank) => `${CRITICALITIES[rank]} ${figure.toFixed(DIGITS)}`)
    .join(', ');
}
