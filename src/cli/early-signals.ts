/**
 * Imported before everything else of the program: a SIGHUP that comes while the rest is still being
 * loaded would end the process, since that is the system's default. The settings are read after it
 * anyway.
 */
process.on('SIGHUP', () => {
  // The command that runs adds its own listener, which reads the settings again.
});
