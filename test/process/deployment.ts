/** How the deployment runs a gateway's process. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

const DEPLOY_FILE = 'deploy/system.toml';

/** Memory in MiB at which the smallest hosts of the deployments kill a process. */
export const HOST_MEMORY_MB = 350;

/** Returns the flags of Node.js in the gateway's run line. */
export const deployedNodeFlags = (): readonly string[] => {
  const { roles } = parse(readFileSync(DEPLOY_FILE, 'utf8')) as {
    readonly roles: { readonly gateway: { readonly run: string } };
  };
  return roles.gateway.run.split(' ').filter((word) => word.startsWith('--'));
};
