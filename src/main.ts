// Entry point of the program: runs the command line and exits with its code.
import { EXIT, runCli } from './cli';

const finish = (code: number): void => {
  // Idle keep-alive connections must not hold a finished command open.
  process.exit(code);
};

runCli(process.argv).then(finish, () => finish(EXIT.failed));
