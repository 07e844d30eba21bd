/** Responses of the stand-in for upstreams, as raw text. */

export const HEAD_END = '\r\n\r\n';

/** Returns the value of a header, or an empty string. */
export const headerOf = (head: string, name: string): string =>
  new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';

/** Returns a complete response 200 to request `id`. */
export const okResponse = (
  id: string,
  body: string,
  extraHeaders: readonly string[] = [],
): string =>
  [
    'HTTP/1.1 200 OK',
    `X-Redwingmount-Request-Id: ${id}`,
    'X-Redwingmount-Response-Signature: 3e1b.07',
    'X-Redwingmount-Backend-Load: 1,0,6',
    `Content-Length: ${body.length}`,
    ...extraHeaders,
    '',
    body,
  ].join('\r\n');

/** Returns chunks of one byte each, without the chunk that ends a body. */
export const inPieces = (bytes: Buffer): Buffer =>
  Buffer.concat(Array.from(bytes, (byte) => Buffer.from([0x31, 13, 10, byte, 13, 10])));

/** Returns the response to a request that is not run; without the header if `id` is empty. */
export const refusalOf = (id: string, extraLines: string): string =>
  [
    'HTTP/1.1 503 Service Unavailable',
    'X-Redwingmount-Not-Executed: 1',
    ...(id === '' ? [] : [`X-Redwingmount-Request-Id: ${id}`]),
    `${extraLines}Content-Length: 0`,
    HEAD_END.slice(2),
  ].join('\r\n');
