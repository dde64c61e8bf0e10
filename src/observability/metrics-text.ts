/** The metrics as text. Scrapes at the same time share one text, whose making takes memory. */
import type { Registry } from 'prom-client';

export class MetricsText {
  private pending: Promise<string> | undefined;

  constructor(private readonly registry: Registry) {}

  get contentType(): string {
    return this.registry.contentType;
  }

  read(): Promise<string> {
    this.pending ??= this.registry.metrics().finally(() => {
      this.pending = undefined;
    });
    return this.pending;
  }
}
