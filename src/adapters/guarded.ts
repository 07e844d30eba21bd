import { channel } from 'node:diagnostics_channel';

/** An exception out of a callback, and the place that the callback has in the program. */
export interface BrokenCallback {
  readonly place: string;
  readonly error: unknown;
}

/** Receives a `BrokenCallback` for each exception that `guarded` or `detached` has met. */
export const brokenCallbacks = channel('redwingmount:broken-callback');

/** Publishes an exception that a caller of its own has caught. */
export const reportBroken = (place: string, error: unknown): void =>
  brokenCallbacks.publish({ place, error } satisfies BrokenCallback);

/**
 * Returns a callback for a socket, server, stream, timer or datagram. An exception in it would end
 * the process with all its requests; it is published, and `end` ends the connection, request or
 * read alone that the callback is for.
 */
export const guarded =
  <A extends readonly unknown[]>(
    place: string,
    callback: (...args: A) => void,
    end?: (...args: A) => void,
  ): ((...args: A) => void) =>
  (...args) => {
    try {
      callback(...args);
    } catch (error) {
      reportBroken(place, error);
      try {
        end?.(...args);
      } catch (endError) {
        reportBroken(`${place}, end`, endError);
      }
    }
  };

/** Lets a promise run; its rejection, which would end the process, is published. */
export const detached = (place: string, promise: Promise<unknown>): void => {
  promise.catch((error: unknown) => reportBroken(place, error));
};
