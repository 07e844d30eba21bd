import { cac, type CAC } from 'cac';
import { Left, Right, type Either } from 'purify-ts';

import { loadSettings } from '../adapters';

import { runConfig } from './check';
import { EXIT, type CliError } from './cli-error';
import { runExplain } from './explain';
import { runNode } from './node';
import { runDrain, runInventory, runStatus, type NodeOptions } from './operator';
import { writeResult, type CommandOutput, type OutputWriter } from './output';
import { runPublish, runRestore, type LogOptions } from './publish';
import { programVersion } from './version';

export { EXIT } from './cli-error';
export type { OutputWriter as Output } from './output';

type CommandResult = Either<CliError, CommandOutput>;

/** Options as the parser returns them; text that looks like a number has become one. */
type RawOptions = Readonly<Record<string, unknown>>;

const CONSOLE: OutputWriter = {
  out: (line) => process.stdout.write(`${line}\n`),
  err: (line) => process.stderr.write(`${line}\n`),
};

const textOption = (options: RawOptions, name: string): string | undefined =>
  options[name] === undefined ? undefined : String(options[name]);

const logOptions = (options: RawOptions): LogOptions => ({
  log: textOption(options, 'log'),
  settings: textOption(options, 'settings'),
});

const nodeOptions = (options: RawOptions): NodeOptions => ({
  node: textOption(options, 'node'),
  settings: textOption(options, 'settings'),
});

const startNode = async (options: RawOptions): Promise<CommandResult> => {
  const file = textOption(options, 'config');
  if (file === undefined) return Left({ kind: 'usage', message: 'node --config FILE' });
  const settings = loadSettings(file);
  if (settings.isLeft()) {
    return Left({ kind: 'file-refused', error: settings.swap().unsafeCoerce() });
  }
  const ended = await runNode(settings.unsafeCoerce(), CONSOLE.out);
  return ended
    .map((): CommandOutput => ({ value: { stopped: true }, lines: [] }))
    .mapLeft((error): CliError => ({ kind: 'start-failed', error }));
};

const LOG_OPTION = ['--log <url>', 'URL of the platform log'] as const;
const LOG_SETTINGS_OPTION = ['--settings <file>', 'Settings that name the platform log'] as const;
const NODE_OPTION = ['--node <url>', 'URL of the operator port'] as const;
const NODE_SETTINGS_OPTION = ['--settings <file>', 'Settings of the node'] as const;
const JSON_OPTION = ['--json', 'Write JSON for scripts'] as const;

const addPublishCommands = (cli: CAC): void => {
  cli
    .command('publish <what> <file>', 'Publish an inventory or rules: publish inventory FILE')
    .option(...LOG_OPTION)
    .option(...LOG_SETTINGS_OPTION)
    .option(...JSON_OPTION)
    .action((what: string, file: string, options: RawOptions) =>
      runPublish(what, String(file), logOptions(options)),
    );
  cli
    .command(
      'restore <inventory> <rules>',
      'Publish both files again after the log has lost the configuration',
    )
    .option(...LOG_OPTION)
    .option(...LOG_SETTINGS_OPTION)
    .option(...JSON_OPTION)
    .action((inventory: string, rules: string, options: RawOptions) =>
      runRestore(String(inventory), String(rules), logOptions(options)),
    );
  cli
    .command('config <action> <file>', 'Check a file without publishing it: config check FILE')
    .option('--kind <kind>', 'settings, inventory or rules', { default: 'settings' })
    .option(...JSON_OPTION)
    .action((action: string, file: string, options: RawOptions) =>
      runConfig(action, String(file), String(options.kind)),
    );
};

const addNodeCommands = (cli: CAC): void => {
  cli
    .command('node', 'Run a node')
    .option('--config <file>', 'Settings of the node')
    .option(...JSON_OPTION)
    .action(startNode);
  cli
    .command('status', "Show a node's state")
    .option(...NODE_OPTION)
    .option(...NODE_SETTINGS_OPTION)
    .option(...JSON_OPTION)
    .action((options: RawOptions) => runStatus(nodeOptions(options)));
  cli
    .command('inventory <action>', 'Show the inventory in force at a node: inventory show')
    .option(...NODE_OPTION)
    .option(...NODE_SETTINGS_OPTION)
    .option(...JSON_OPTION)
    .action((action: string, options: RawOptions) => runInventory(action, nodeOptions(options)));
  cli
    .command('drain', 'Have a node finish its requests and take no new ones')
    .option(...NODE_OPTION)
    .option(...NODE_SETTINGS_OPTION)
    .option(...JSON_OPTION)
    .action((options: RawOptions) => runDrain(nodeOptions(options)));
  cli
    .command('explain <request> [...logs]', 'Explain the outcome of a request from log files')
    .option(...JSON_OPTION)
    .action((request: string, logs: readonly string[]) => runExplain(String(request), logs));
  cli
    .command('version', 'Show the version of this program')
    .option(...JSON_OPTION)
    .action((): CommandResult => {
      const version = programVersion();
      return Right({ value: { version }, lines: [`redwingmount ${version}`] });
    });
};

const buildCli = (): CAC => {
  const cli = cac('redwingmount');
  addNodeCommands(cli);
  addPublishCommands(cli);
  cli.help();
  return cli;
};

const dispatch = async (cli: CAC, argv: readonly string[]): Promise<CommandResult | undefined> => {
  try {
    cli.parse([...argv], { run: false });
    if (cli.options.help) return undefined;
    if (!cli.matchedCommand) {
      const [name] = cli.args;
      const message = name === undefined ? 'expected a command' : `unknown command ${name}`;
      return Left({ kind: 'usage', message: `${message}: see redwingmount --help` });
    }
    return await (cli.runMatchedCommand() as CommandResult | Promise<CommandResult>);
  } catch (err) {
    const message = err instanceof Error ? err.message : 'see redwingmount --help';
    return Left({ kind: 'usage', message });
  }
};

/** Runs one command and returns its exit code. `argv` has the form of process.argv. */
export const runCli = async (
  argv: readonly string[],
  output: OutputWriter = CONSOLE,
): Promise<number> => {
  const cli = buildCli();
  const result = await dispatch(cli, argv);
  return result ? writeResult(output, result, cli.options.json === true) : EXIT.ok;
};
