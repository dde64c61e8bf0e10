/** All plug-ins of the sidecar. Importing a plug-in's module registers it. */
import './observability-plugin.js';
import './store-plugin.js';
import './quarantine-plugin.js';
import './target-plugin.js';
import './link-plugin.js';
import './directory-plugin.js';
import './rules-plugin.js';
import './entry-plugin.js';
import './quota-plugin.js';
import './admission-plugin.js';
import './readiness-plugin.js';
