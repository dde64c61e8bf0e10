/** A small linear program solved by the simplex method with Bland's rule. */

/** Maximises `objective · x` subject to `rows[i] · x <= bounds[i]` and `x >= 0`. */
export interface LinearProgram {
  readonly objective: readonly number[];
  readonly rows: readonly (readonly number[])[];
  /** Not negative, so that x = 0 is a feasible start. */
  readonly bounds: readonly number[];
}

const EPSILON = 1e-9;
const MAX_PIVOTS = 10_000;

/** Solves the program and returns x. */
export function solveLinearProgram(program: LinearProgram): number[] {
  const variables = program.objective.length;
  const tableau = createTableau(program);
  const basis = program.rows.map((_, index) => variables + index);
  for (let pivots = 0; pivots < MAX_PIVOTS; pivots += 1) {
    const column = findEnteringColumn(tableau);
    if (column === undefined) return readSolution(tableau, basis, variables);
    const row = findLeavingRow(tableau, basis, column);
    if (row === undefined) throw new Error('linear program is unbounded');
    pivot(tableau, row, column);
    basis[row] = column;
  }
  throw new Error('linear program exceeded the maximum number of pivots');
}

/** One row per constraint with its slack variable and bound; the last row is the objective. */
function createTableau({ objective, rows, bounds }: LinearProgram): number[][] {
  const slack = (index: number) => rows.map((_, other) => (other === index ? 1 : 0));
  const constraints = rows.map((row, index) => [...row, ...slack(index), bounds[index]!]);
  return [...constraints, [...objective.map((value) => -value), ...rows.map(() => 0), 0]];
}

function findEnteringColumn(tableau: readonly number[][]): number | undefined {
  const last = tableau[tableau.length - 1]!;
  const index = last.slice(0, -1).findIndex((value) => value < -EPSILON);
  return index < 0 ? undefined : index;
}

function findLeavingRow(
  tableau: readonly number[][],
  basis: readonly number[],
  column: number,
): number | undefined {
  let found: number | undefined;
  let lowest = Infinity;
  for (let row = 0; row < tableau.length - 1; row += 1) {
    const cells = tableau[row]!;
    if (cells[column]! <= EPSILON) continue;
    const ratio = cells[cells.length - 1]! / cells[column]!;
    const better = ratio < lowest - EPSILON;
    const tie = Math.abs(ratio - lowest) <= EPSILON && basis[row]! < basis[found ?? row]!;
    if (!better && !tie) continue;
    lowest = ratio;
    found = row;
  }
  return found;
}

function pivot(tableau: number[][], row: number, column: number): void {
  const divisor = tableau[row]![column]!;
  const pivotRow = tableau[row]!.map((value) => value / divisor);
  tableau[row] = pivotRow;
  for (const [index, cells] of tableau.entries()) {
    const factor = cells[column]!;
    if (index === row || factor === 0) continue;
    tableau[index] = cells.map((value, position) => value - factor * pivotRow[position]!);
  }
}

function readSolution(
  tableau: readonly number[][],
  basis: readonly number[],
  variables: number,
): number[] {
  const solution = new Array<number>(variables).fill(0);
  for (const [row, variable] of basis.entries()) {
    if (variable >= variables) continue;
    const cells = tableau[row]!;
    solution[variable] = cells[cells.length - 1]!;
  }
  return solution;
}
