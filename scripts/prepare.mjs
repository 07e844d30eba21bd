// Notes in node_modules that `npm ci` has installed it; npm runs this at the end of an installation.
// Other commands of npm that run it don't install just what the lock file names.
import { writeRecord } from './modules.mjs';

if (process.env.npm_command === 'ci') writeRecord();
