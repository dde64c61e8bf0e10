/** The plug-ins of a node: importing a plug-in's module registers it. */
import '../observability/observability-plugin.js';
import '../admin/admin-plugin.js';
import '../platform/platform-plugin.js';
import '../config/config-plugin.js';
