/**
 * Imported before all other modules of the sidecar program: by default a SIGHUP ends the process,
 * also while the other modules are still being loaded. Such an early SIGHUP can be ignored, since
 * the settings are read after it anyway.
 */
process.on('SIGHUP', () => {
  // The sidecar command adds its own listener, which reads the settings again.
});
