import { Left, Right, type Either } from 'purify-ts';

import type { Settings } from '../model';
import { Node, type StartError } from '../node';

/** Runs a node until it has drained and stopped; SIGTERM and SIGINT start the drain. */
export const runNode = async (
  settings: Settings,
  write: (line: string) => void,
): Promise<Either<StartError, void>> => {
  const node = new Node(settings, write);
  const drain = (): void => {
    void node.drain();
  };
  process.on('SIGTERM', drain);
  process.on('SIGINT', drain);
  const started = await node.start();
  if (started.isLeft()) return Left(started.swap().unsafeCoerce());
  await node.stopped;
  return Right(undefined);
};
