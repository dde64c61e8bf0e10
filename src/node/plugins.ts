/** Registers the plug-ins and policies of a node; importing a module registers what it defines. */
import '../core/overload-policies.js';
import '../observability/observability-plugin.js';
import '../peer/peer-plugin.js';
import '../membership/membership-plugin.js';
import '../etcd/platform-plugin.js';
import '../config/config-plugin.js';
import '../claims/claim-plugin.js';
import '../target/target-plugin.js';
import '../entry/entry-plugin.js';
import '../admin/admin-plugin.js';
