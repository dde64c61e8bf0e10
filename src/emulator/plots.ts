/** Plots of an experiment as SVG, by vega-lite: time series by policy, and goodput by kind. */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { ExperimentResult } from './experiment.js';
import type { RunResult } from './run-result.js';
import { median } from './statistics.js';

/** Windows combined into one point of a time series. */
const WINDOWS_PER_POINT = 5;
const MS_PER_SECOND = 1_000;
const PANEL_WIDTH = 640;
const PANEL_HEIGHT = 130;

/** The measures of the time series, in the order of their panels. */
const MEASURES = ['goodput / s', 'refusals / s', 'attempts / s', 'queued'] as const;

interface TimePoint {
  readonly measure: (typeof MEASURES)[number];
  readonly policy: string;
  readonly second: number;
  readonly value: number;
}

/** Plots goodput, refusals, attempts and queue over time; medians over the seeds. */
export async function plotTimeSeries(result: ExperimentResult): Promise<string> {
  const points = result.scenario.policies.flatMap((policy) =>
    timePoints(
      policy,
      result.runs.filter((run) => run.policy === policy),
    ),
  );
  const panels = MEASURES.map((measure) => ({
    width: PANEL_WIDTH,
    height: PANEL_HEIGHT,
    transform: [{ filter: { field: 'measure', equal: measure } }],
    mark: { type: 'line' as const, strokeWidth: 1.5 },
    encoding: {
      x: { field: 'second', type: 'quantitative' as const, title: 'time (s)' },
      y: { field: 'value', type: 'quantitative' as const, title: measure },
      color: { field: 'policy', type: 'nominal' as const, sort: [...result.scenario.policies] },
    },
  }));
  return await renderSvg({
    title: result.scenario.name,
    background: 'white',
    data: { values: points },
    vconcat: panels,
  });
}

/** Plots complete requests by kind and policy, as shares of those sent. */
export async function plotGoodput(result: ExperimentResult): Promise<string> {
  const bars = result.summary.flatMap(({ policy, kinds }) =>
    kinds.map(({ kind, complete }) => ({
      policy,
      kind,
      complete: complete.median,
      min: complete.min,
      max: complete.max,
    })),
  );
  const policies = [...result.scenario.policies];
  const x = { field: 'policy', type: 'nominal' as const, sort: policies, title: null };
  return await renderSvg({
    title: `${result.scenario.name}: complete share of the requests sent`,
    background: 'white',
    data: { values: bars },
    facet: { column: { field: 'kind', type: 'nominal', title: null } },
    spec: {
      width: 140,
      height: 220,
      layer: [
        {
          mark: 'bar',
          encoding: {
            x,
            y: {
              field: 'complete',
              type: 'quantitative',
              title: 'complete share',
              scale: { domain: [0, 1] },
            },
            color: { field: 'policy', type: 'nominal', sort: policies },
          },
        },
        {
          mark: { type: 'rule', strokeWidth: 1.5 },
          encoding: {
            x,
            y: { field: 'min', type: 'quantitative' },
            y2: { field: 'max' },
          },
        },
      ],
    },
  });
}

async function renderSvg(specification: TopLevelSpec): Promise<string> {
  const { spec } = compile(specification);
  const view = new View(parse(spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

function timePoints(policy: string, runs: readonly RunResult[]): TimePoint[] {
  const series = runs.map(seriesOf);
  return MEASURES.flatMap((measure, index) =>
    (series[0]?.[index] ?? []).map((_, point) => ({
      measure,
      policy,
      second: (point * WINDOWS_PER_POINT * (runs[0]?.series.windowMs ?? 0)) / MS_PER_SECOND,
      value: median(series.map((measures) => measures[index]![point]!)),
    })),
  );
}

/** Returns one series per measure of one run. */
function seriesOf(run: RunResult): number[][] {
  const kinds = Object.values(run.series.kinds);
  const services = Object.values(run.series.services);
  const perSecond = MS_PER_SECOND / (run.series.windowMs * WINDOWS_PER_POINT);
  return [
    joinWindows(
      kinds.map(({ complete }) => complete),
      perSecond,
    ),
    joinWindows(
      services.map(({ refusals }) => refusals),
      perSecond,
    ),
    joinWindows(
      services.map(({ attempts }) => attempts),
      perSecond,
    ),
    joinWindows(
      services.flatMap(({ queued, queuedInTargets }) => [queued, queuedInTargets]),
      1 / WINDOWS_PER_POINT,
    ),
  ];
}

/** Adds up the series, combines {@link WINDOWS_PER_POINT} windows into a point and scales it. */
function joinWindows(all: readonly (readonly number[])[], factor: number): number[] {
  const windows = all[0]?.length ?? 0;
  const points = new Array<number>(Math.floor(windows / WINDOWS_PER_POINT)).fill(0);
  for (const series of all) {
    for (const [window, value] of series.entries()) {
      const point = Math.floor(window / WINDOWS_PER_POINT);
      if (point < points.length) points[point]! += value * factor;
    }
  }
  return points;
}
