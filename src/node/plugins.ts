/** The plug-ins of a node: importing a plug-in's module registers it. */
import '../observability/observability-plugin.js';
import '../peer/peer-plugin.js';
import '../membership/membership-plugin.js';
import '../admin/admin-plugin.js';
