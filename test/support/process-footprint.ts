/** What a process holds, as the kernel reports it under /proc. */
import { readdirSync, readFileSync } from 'node:fs';

const BYTES_PER_KB = 1024;

/** Most memory that was resident since the process started, in bytes. */
export function peakMemoryBytes(processId: number): number {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]) * BYTES_PER_KB;
}

/** Descriptors that are open now. */
export function openDescriptors(processId: number): number {
  return readdirSync(`/proc/${processId}/fd`).length;
}
